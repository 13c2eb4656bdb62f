package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	platformv1 "github.com/skylarkwood/skylarkwood/api/platform/v1"
	"github.com/skylarkwood/skylarkwood/internal/response/responsetest"
)

const protoType = "Content-Type: application/proto\r\n"

// encodedResponse returns the encoded response to a call of a plain service.
func encodedResponse(t *testing.T, body string) string {
	raw, err := proto.Marshal(&platformv1.CallResponse{Body: []byte(body)})
	assert.NilError(t, err)
	return string(raw)
}

// call sends a call of some size to a plain service that handles its connection with serve.
func call(t *testing.T, size int, serve func(c *net.TCPConn)) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	body, err := DialPlain(NewHTTPClient(1), "http://"+responsetest.Serve(t, serve)).Call(ctx, "id", make([]byte, size))
	assert.Check(t, ctx.Err() == nil)
	return string(body), err
}

func answerWith(text string) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, text)
		}
	}
}

// Guards against malformed responses of plain services that are taken for the results of calls.
func TestMalformedResponseIsNotTheResultOfACall(t *testing.T) {
	for name, text := range responsetest.Malformed(protoType, encodedResponse(t, "broken")) {
		for _, size := range []int{100, 4 << 20} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, size), func(t *testing.T) {
				body, err := call(t, size, answerWith(text))
				assert.Assert(t, err != nil, "%q", body)
			})
		}
	}
}

// Guards against refusing well-formed responses.
func TestWholeResponseIsTheResultOfACall(t *testing.T) {
	for name, text := range responsetest.Whole(protoType, encodedResponse(t, "body")) {
		for _, size := range []int{0, 100, 4 << 20} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, size), func(t *testing.T) {
				body, err := call(t, size, answerWith(text))
				assert.NilError(t, err)
				assert.Equal(t, body, "body")
			})
		}
	}
}

// A plain service answers a call before it has read it, and resets the connection. A response that is cut between
// two fields can be decoded. Guards against taking it, or an empty one, for the result.
func TestResponseCutOffDuringTheCallIsNotItsResult(t *testing.T) {
	var calls sync.WaitGroup
	for _, part := range []string{"", encodedResponse(t, "part")} {
		for range 32 {
			calls.Go(func() {
				body, err := call(t, 4<<20, func(c *net.TCPConn) {
					_, _ = io.CopyN(io.Discard, c, 300)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+protoType+"\r\n"+part)
					time.Sleep(20 * time.Millisecond) // the client reads the response before the reset
					_ = c.SetLinger(0)
				})
				assert.Check(t, err != nil, "%q", body)
			})
		}
	}
	calls.Wait()
}
