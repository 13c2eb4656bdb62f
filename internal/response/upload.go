package response

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/tcp"
)

// ErrIncomplete means that a connection ended before the response on it was complete. Whether the server ran
// the request is unknown.
var ErrIncomplete = errors.New("incomplete response")

func incomplete(reason error) error { return fmt.Errorf("%w: %w", ErrIncomplete, reason) }

// requestNotReceived returns the error for a connection that ended before the server had the whole request. A
// response that only the end of its connection completes is not known to be complete then.
func requestNotReceived(reason error) error {
	return incomplete(fmt.Errorf("connection ended before the request was received: %w", reason))
}

var (
	errStalled = errors.New("the peer reads no more of it")
	errReset   = errors.New("reset by the peer")
)

const (
	// uploadStallTimeout is how long the rest of a request may make no progress after its response has ended.
	uploadStallTimeout = time.Second
	// uploadPollInterval is the interval at which that progress is looked at.
	uploadPollInterval = 10 * time.Millisecond
)

// Upload is the writing of one request to a connection.
type Upload struct {
	done chan struct{}
	once sync.Once
	err  error // after done; nil if the request was written whole
}

// NewUpload returns an upload that has not ended.
func NewUpload() *Upload { return &Upload{done: make(chan struct{})} }

// End records the end of the upload. err is nil if the whole request was written. Only the first call has
// an effect.
func (u *Upload) End(err error) {
	u.once.Do(func() {
		u.err = err
		close(u.done)
	})
}

// Written reports whether the whole request has been written by now.
func (u *Upload) Written() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// confirm waits until the peer has received the request. It returns nil if that is the whole request, and
// ErrIncomplete otherwise. The kernel reports an error of a connection once, to whoever writes or reads first. If
// that is the writer, the reader sees a regular end, so only both together show how the connection ended. What the
// kernel has accepted for sending may still be lost, too, if the peer closes its side before it resets the rest.
//
// A peer that has only ended its own side may still read the request. It is waited for as long as it takes
// bytes of it.
func (u *Upload) confirm(c net.Conn) error {
	progressAt, acknowledged := time.Now(), uint64(0)
	for {
		written := u.endsWithin(uploadPollInterval)
		peer := tcp.Peer(c)
		switch {
		case written && u.err != nil:
			return requestNotReceived(u.err)
		case written && peer.Reset:
			return requestNotReceived(errReset)
		case written && !peer.Unacknowledged:
			return nil
		case peer.Acknowledged != acknowledged, peer.Known && !peer.Unacknowledged:
			// While nothing waits for the peer, it is this process that has not written.
			progressAt, acknowledged = time.Now(), peer.Acknowledged
		case time.Since(progressAt) >= uploadStallTimeout:
			return requestNotReceived(errStalled)
		}
		if written {
			time.Sleep(uploadPollInterval)
		}
	}
}

// endsWithin waits for the end of the upload and reports whether it came in time.
func (u *Upload) endsWithin(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-u.done:
		return true
	case <-timer.C:
		return false
	}
}
