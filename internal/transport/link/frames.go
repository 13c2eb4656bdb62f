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
	// noticeMark stands where the length of a JSON message would, which is never
	// empty: a notice follows, with a length of its own.
	noticeMark = 0
	// maxFrame bounds a message, in bytes: the largest holds a configuration of
	// 17,000 customers and the entries of 2,600 engines, some 4 MB.
	maxFrame = 32 << 20
	// frameStep is what is reserved for a message before its bytes have come, so
	// that a length alone takes no memory.
	frameStep = 64 << 10
)

var errLongFrame = errors.New("message is too long")

// frames carries the JSON-RPC messages of a link, each after its length, and
// between them notices, which are not JSON. It implements jsonrpc2.ObjectStream.
type frames struct {
	conn io.ReadWriteCloser
	r    *bufio.Reader
	// noticed takes in each notice that arrives; it must not block, and the bytes
	// are valid until it returns.
	noticed func([]byte)

	mu sync.Mutex // held while a message is written
}

func newFrames(conn io.ReadWriteCloser, noticed func([]byte)) *frames {
	return &frames{conn: conn, r: bufio.NewReader(conn), noticed: noticed}
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

// frameNotice puts a notice into the form that write takes.
func frameNotice(notice []byte) []byte {
	framed := append(make([]byte, 0, 1+binary.MaxVarintLen64+len(notice)), noticeMark)
	framed = binary.AppendUvarint(framed, uint64(len(notice)))
	return append(framed, notice...)
}

func (f *frames) write(framed []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err := f.conn.Write(framed)
	return errors.Wrap(err, "write to link")
}

// ReadObject implements jsonrpc2.ObjectStream: it gives the next JSON message,
// and hands over the notices that come before it.
func (f *frames) ReadObject(v any) error {
	for {
		n, err := binary.ReadUvarint(f.r)
		if err != nil {
			return err
		}
		if n != noticeMark {
			raw, err := f.read(n)
			if err != nil {
				return err
			}
			return errors.Wrap(json.Unmarshal(raw, v), "decode message")
		}
		if n, err = binary.ReadUvarint(f.r); err != nil {
			return err
		}
		notice, err := f.read(n)
		if err != nil {
			return err
		}
		f.noticed(notice)
	}
}

func (f *frames) read(n uint64) ([]byte, error) {
	if n > maxFrame {
		return nil, errLongFrame
	}
	if n <= frameStep {
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
