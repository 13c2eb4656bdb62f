package relay

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
)

// minReleased is the size in bytes of the smallest body that is given up before the end of its
// request. A smaller one is not worth the computation of the request's fingerprint.
const minReleased = 64 << 10

// releaseBody gives up the body of the request, which is not sent again.
func (q *request) releaseBody() {
	held := q.call.Body.Held()
	if held < minReleased {
		return
	}
	q.fingerprint() // covers the body
	q.call.Body = nil
	q.account.Give(held)
}

// Errors of readWhole.
var (
	errResponseTooLarge = errors.Errorf("response exceeds %d bytes", maxBufferedResponse)
	errNoResponseRoom   = errors.New("no room for the response")
)

// firstResponseBuffer is the size in bytes of the buffer for a response of unknown length.
const firstResponseBuffer = 4 << 10

// readWhole reads a response of an announced length, -1 if there is none, whose memory it takes from
// the account first. The request has run, so it waits for room.
func readWhole(ctx context.Context, body io.Reader, length int64, a *clientbudget.Account) (read []byte, held int64, err error) {
	size := min(length, maxBufferedResponse) + 1 // for the read that finds the end
	if length < 0 {
		size = firstResponseBuffer
	}
	if !a.Wait(ctx, size) {
		return nil, 0, errNoResponseRoom
	}
	held = size
	buffer := make([]byte, 0, size)
	for {
		if len(buffer) == cap(buffer) {
			grown := 2 * int64(cap(buffer))
			if !a.Wait(ctx, grown) {
				return nil, held, errNoResponseRoom
			}
			buffer = append(make([]byte, 0, grown), buffer...)
			a.Give(held)
			held = grown
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case len(buffer) > maxBufferedResponse:
			return nil, held, errResponseTooLarge
		case err == io.EOF:
			return buffer, held, nil
		case err != nil:
			return nil, held, errors.Wrap(err, "response truncated")
		}
	}
}
