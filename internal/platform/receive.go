package platform

import (
	"context"
	"io"
	"net/http"
)

const (
	// firstRoom is the room in bytes for the beginning of a response without a length.
	firstRoom = 4 << 10
	// receivedFactor times the size of a response is the memory that it takes while it is received: its
	// buffer, the one before while it grows, and the decoded message.
	receivedFactor = 4
)

type roomKey struct{}

// WithRoom returns a context for a request whose response is received only as far as take grants memory
// for it, in bytes. take may wait. An error of it ends the response.
func WithRoom(ctx context.Context, take func(n int64) error) context.Context {
	return context.WithValue(ctx, roomKey{}, take)
}

// TakeRoom asks for n bytes as WithRoom says. Without WithRoom they are granted.
func TakeRoom(ctx context.Context, n int64) error {
	if take, ok := ctx.Value(roomKey{}).(func(n int64) error); ok {
		return take(n)
	}
	return nil
}

// limitResponse applies WithRoom to a response.
func limitResponse(ctx context.Context, resp *http.Response) {
	if ctx.Value(roomKey{}) != nil {
		resp.Body = &limitedBody{ReadCloser: resp.Body, ctx: ctx, length: resp.ContentLength}
	}
}

// limitedBody is a body that is read as far as there is room.
type limitedBody struct {
	io.ReadCloser
	ctx    context.Context // of the request
	length int64           // -1 if it is unknown
	room   int64
	read   int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.read == b.room && b.read != b.length {
		more := max(b.room/4, firstRoom)
		if b.length >= 0 {
			more = b.length
		}
		if err := TakeRoom(b.ctx, receivedFactor*more); err != nil {
			return 0, err
		}
		b.room += more
	}
	if b.read < b.room {
		p = p[:min(int64(len(p)), b.room-b.read)]
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	return n, err
}
