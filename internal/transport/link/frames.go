package link

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	// notificationMarker precedes a notification, in place of the length of a JSON
	// message, which is never 0. The length of the notification follows.
	notificationMarker = 0
	// maxFrame limits a message, in bytes. The largest messages, with a full configuration
	// and the entries of all engines, have some 4 MB.
	maxFrame = 32 << 20
	// maxPreallocation limits the memory allocated for a message before its bytes arrive,
	// so that a length alone does not allocate memory.
	maxPreallocation = 64 << 10
)

var errFrameTooLong = errors.New("message is too long")

// frames reads and writes the length-prefixed JSON-RPC messages of a link and the binary
// notifications between them. It implements jsonrpc2.ObjectStream.
type frames struct {
	conn io.ReadWriteCloser
	r    *bufio.Reader
	// onNotification is called with each notification. It must not block or retain the
	// bytes.
	onNotification func([]byte)

	mu sync.Mutex // held while a message is written
}

func newFrames(conn io.ReadWriteCloser, onNotification func([]byte)) *frames {
	return &frames{conn: conn, r: bufio.NewReader(conn), onNotification: onNotification}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (f *frames) WriteObject(obj any) error {
	raw, err := json.Marshal(obj)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	head := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(raw)), uint64(len(raw)))
	return f.write(append(head, raw...))
}

// frameNotification returns a notification in the format that write takes.
func frameNotification(notification []byte) []byte {
	framed := append(make([]byte, 0, 1+binary.MaxVarintLen64+len(notification)), notificationMarker)
	framed = binary.AppendUvarint(framed, uint64(len(notification)))
	return append(framed, notification...)
}

func (f *frames) write(framed []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err := f.conn.Write(framed)
	return errors.Wrap(err, "write to link")
}

// ReadObject implements jsonrpc2.ObjectStream. It decodes the next JSON message and calls
// onNotification with the notifications before it.
func (f *frames) ReadObject(v any) error {
	for {
		n, err := binary.ReadUvarint(f.r)
		if err != nil {
			return err
		}
		if n != notificationMarker {
			raw, err := f.read(n)
			if err != nil {
				return err
			}
			return errors.Wrap(json.Unmarshal(raw, v), "decode message")
		}
		if n, err = binary.ReadUvarint(f.r); err != nil {
			return err
		}
		notification, err := f.read(n)
		if err != nil {
			return err
		}
		f.onNotification(notification)
	}
}

func (f *frames) read(n uint64) ([]byte, error) {
	if n > maxFrame {
		return nil, errFrameTooLong
	}
	if n <= maxPreallocation {
		raw := make([]byte, n)
		_, err := io.ReadFull(f.r, raw)
		return raw, err
	}
	raw, err := io.ReadAll(io.LimitReader(f.r, int64(n)))
	if err == nil && uint64(len(raw)) < n {
		err = io.ErrUnexpectedEOF
	}
	return raw, err
}

// Close implements jsonrpc2.ObjectStream.
func (f *frames) Close() error { return f.conn.Close() }
