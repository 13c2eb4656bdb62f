package front

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
	"github.com/skylarkwood/skylarkwood/internal/coordination/keepalive"
	"github.com/skylarkwood/skylarkwood/internal/transport/guard"
	"github.com/skylarkwood/skylarkwood/platform"
)

// hasNoRoom reports whether a read failed because the process has no room for the connection.
func hasNoRoom(err error) bool {
	return errors.Is(err, guard.ErrNoRoom) || errors.Is(err, clientbudget.ErrYielded)
}

// account returns what the process holds for the connection; nil if nobody counts that.
func (c *timedConn) account() *clientbudget.Account {
	return c.guarded.Account()
}

// endWithoutRoom ends a connection for which there is no room. A header of which a part was read gets a
// response: nothing of its request was handled. A request whose header was read completely gets its
// response from its handler.
func (c *timedConn) endWithoutRoom(cause error) {
	c.setEndReason(EndNoRoom, cause)
	c.mu.Lock()
	serving := c.state.Phase() == keepalive.Serving
	c.mu.Unlock()
	if serving || !c.guarded.HeaderStarted() {
		return
	}
	after := c.account().RetryAfter()
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))
	c.guarded.AllowLastResponse()
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %.2f\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", after.Seconds())
	c.rejected.Store(true)
	klog.InfoS("request header refused: no room", "caller", c.RemoteAddr(), "retryAfter", after, "cause", cause, "err", err)
}

// refuseWithoutRoom responds to a request that was not handed on because there is no room for it. Its
// rest is not read.
func (s *Server) refuseWithoutRoom(conn *timedConn, out *responseWriter, r *http.Request, what string) {
	after := conn.account().RetryAfter()
	attempt := platform.AttemptID(r)
	klog.InfoS("request refused: no room", "request", attempt, "caller", r.RemoteAddr, "what", what,
		"length", r.ContentLength, "yielded", conn.account().Yielded(), "retryAfter", after)
	conn.setEndReason(EndNoRoom, nil)
	conn.unread.Store(true)
	if conn.guarded != nil {
		conn.guarded.AllowLastResponse()
	}
	platform.SetErrorHeaders(out.w.Header(), attempt, after)
	out.writeError(http.StatusServiceUnavailable, "no room for the request")
}
