package response

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/response/responsetest"
)

// serveTexts answers the nth request of each connection, once it is read, with the nth of some texts. It ends the
// connection after the last one.
func serveTexts(t *testing.T, texts ...string) (url string) {
	return "http://" + responsetest.Serve(t, func(c *net.TCPConn) {
		br := bufio.NewReader(c)
		for _, text := range texts {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, text)
		}
	})
}

func newClient() *http.Client {
	var d net.Dialer
	return &http.Client{Transport: NewTransport(&http.Transport{DialContext: d.DialContext})}
}

func post(hc *http.Client, url string, size int) (string, error) {
	resp, err := hc.Post(url, "text/plain", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}

const first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"

// Guards against clients over http.Transport that take malformed responses, on new and on kept connections.
func TestTransportRefusesMalformedResponses(t *testing.T) {
	for name, text := range responsetest.Malformed("X-F: 1\r\n", "broken") {
		t.Run(name, func(t *testing.T) {
			body, err := post(newClient(), serveTexts(t, text), 10)
			assert.Assert(t, err != nil, "%q", body)
			hc, url := newClient(), serveTexts(t, first, text)
			body, err = post(hc, url, 10)
			assert.NilError(t, err)
			assert.Equal(t, body, "first")
			body, err = post(hc, url, 10)
			assert.Assert(t, err != nil, "%q", body)
		})
	}
}

// Guards against refusing well-formed responses, on new and on kept connections, to small and large requests.
func TestTransportReturnsWholeResponses(t *testing.T) {
	for name, text := range responsetest.Whole("X-F: 1\r\n", "body") {
		for _, size := range []int{0, 10, 4 << 20} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, size), func(t *testing.T) {
				hc, url := newClient(), serveTexts(t, first, text)
				for _, want := range []string{"first", "body"} {
					body, err := post(hc, url, size)
					assert.NilError(t, err)
					assert.Equal(t, body, want)
				}
			})
		}
	}
}

// A server answers before it has read the upload, and ends the connection. Guards against taking what arrived for
// the whole response.
func TestTransportFailsIfTheUploadIsCutOff(t *testing.T) {
	const size = 8 << 20
	for _, reset := range []bool{false, true} {
		for _, text := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\npart"} {
			for _, read := range []int64{300, size / 2} {
				t.Run(fmt.Sprintf("reset %t, %d bytes read, %d sent", reset, read, len(text)), func(t *testing.T) {
					url := "http://" + responsetest.Serve(t, func(c *net.TCPConn) {
						_, _ = io.CopyN(io.Discard, c, read)
						_, _ = io.WriteString(c, text)
						if reset {
							time.Sleep(time.Millisecond)
							_ = c.SetLinger(0)
						}
					})
					for range 16 {
						body, err := post(newClient(), url, size)
						assert.Check(t, err != nil, "%q", body)
					}
				})
			}
		}
	}
}

// Guards against sending requests whose end on the connection is not known.
func TestTransportRefusesBodiesOfUnknownLength(t *testing.T) {
	req, err := http.NewRequest(http.MethodPost, serveTexts(t, first), io.MultiReader(strings.NewReader("body")))
	assert.NilError(t, err)
	_, err = newClient().Do(req)
	assert.ErrorIs(t, err, errUnknownLength)
}
