package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/clientbudget"
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
	// decodedFactor times the size of a message is the memory that it takes: as received, as decoded,
	// and while the buffer grows.
	decodedFactor = 3
	// callCost is the memory in bytes of a call until its response was written.
	callCost = 8 << 10
)

var (
	errFrameTooLong = errors.New("message is too long")
	errNoRoom       = errors.New("no room for a message")
)

// frames reads and writes the length-prefixed JSON-RPC messages of a link and the binary
// notifications between them. It implements jsonrpc2.ObjectStream.
type frames struct {
	conn io.ReadWriteCloser
	r    *bufio.Reader
	// account is what the process holds for the sender. It is nil if this process opened the connection.
	account *clientbudget.Account
	// clients is the memory for replies on a connection that this process opened. It may be nil.
	clients *clientbudget.Budget
	release func() // gives back what was taken for the message that was read last
	// received is the number of bytes read so far.
	received atomic.Int64
	// onNotification is called with each notification. It must not block or retain the
	// bytes.
	onNotification func([]byte)

	replies sync.Mutex // held while a reply is encoded and written
	mu      sync.Mutex // held while a message is written
}

func newFrames(conn io.ReadWriteCloser, onNotification func([]byte)) *frames {
	f := &frames{conn: conn, onNotification: onNotification, release: func() {}}
	f.r = bufio.NewReader(receivedCounter{f})
	return f
}

// receivedCounter reads from a connection and counts the bytes.
type receivedCounter struct{ *frames }

// Read implements io.Reader.
func (c receivedCounter) Read(p []byte) (int, error) {
	n, err := c.conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// WriteObject implements jsonrpc2.ObjectStream. It writes calls; replies are written by writeReply.
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

// write writes the parts of one message.
func (f *frames) write(parts ...[]byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range parts {
		if _, err := f.conn.Write(p); err != nil {
			return errors.Wrap(err, "write to link")
		}
	}
	return nil
}

// ReadObject implements jsonrpc2.ObjectStream. It decodes the next JSON message and calls
// onNotification with the notifications before it.
func (f *frames) ReadObject(v any) error {
	err := f.readObject(v)
	if err != nil {
		f.giveBack()
	}
	return err
}

func (f *frames) readObject(v any) error {
	for {
		f.giveBack()
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
	if err := f.take(int64(n)*decodedFactor + callCost); err != nil {
		klog.InfoS("connection closed: no room for a message", "bytes", n, "err", err)
		return nil, err
	}
	raw := make([]byte, min(n, maxPreallocation))
	for read := 0; ; {
		k, err := io.ReadFull(f.r, raw[read:])
		read += k
		if err != nil || uint64(read) == n {
			return raw, err
		}
		raw = append(make([]byte, 0, min(2*uint64(len(raw)), n)), raw...)
		raw = raw[:cap(raw)]
	}
}

// take takes memory for the next message, before it is read.
func (f *frames) take(n int64) error {
	if f.clients != nil {
		reply := f.clients.NewResponse()
		f.release = reply.Release
		return reply.Wait(context.Background(), min(n, f.clients.Limits().Memory))
	}
	if !f.account.Take(n) && !f.waitForRoom(n) {
		return errNoRoom
	}
	f.release = func() { f.account.Give(n) }
	return nil
}

// waitForRoom waits for room for a message of a known peer, whose calls would all fail with its
// connection.
func (f *frames) waitForRoom(n int64) bool {
	return f.account.KnownPeer() && f.account.Wait(context.Background(), n)
}

// giveBack gives back what was taken for the message that was read last.
func (f *frames) giveBack() { f.handOver()() }

// handOver returns what gives back the memory of the message that was read last. The caller must call it.
func (f *frames) handOver() (release func()) {
	release = f.release
	f.release = func() {}
	return release
}

// Close implements jsonrpc2.ObjectStream.
func (f *frames) Close() error { return f.conn.Close() }
