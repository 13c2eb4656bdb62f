package link

import (
	"encoding/binary"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

const (
	// encodedFactor times the size of a reply is the memory that it takes while it is encoded.
	encodedFactor = 4
	// writtenFactor times the size of an encoded reply is the memory that it takes while it is written: that
	// of the encoder's buffer.
	writtenFactor = 2
)

// maxCopied is the size in bytes of the largest reply that is copied behind its length, to be written at once.
const maxCopied = 64 << 10

// reply is a message as jsonrpc2.Response, whose result is encoded together with it: a large one is not
// copied from one encoding to the next.
type reply struct {
	Version string          `json:"jsonrpc"`
	ID      jsonrpc2.ID     `json:"id"`
	Result  *replyEnvelope  `json:"result,omitempty"`
	Error   *jsonrpc2.Error `json:"error,omitempty"`
}

// replyEnvelope is a wire.Envelope whose body is not encoded yet.
type replyEnvelope struct {
	wire.Envelope
	Body any `json:"b,omitempty"`
}

// reply writes the result or the error of a call.
func (c *serverConn) reply(req *jsonrpc2.Request, v any, err error) {
	if req.Notif {
		return
	}
	r := reply{Version: "2.0", ID: req.ID}
	if err != nil {
		r.Error = encodeFault(err)
		v = nil
	} else {
		r.Result = &replyEnvelope{Envelope: c.metadata.header(), Body: v}
	}
	if h, ok := v.(wire.Holder); ok {
		defer h.Written()
	}
	if err := c.frames.writeReply(r, v); err != nil {
		klog.V(1).InfoS("reply not written", "method", req.Method, "err", err)
	}
}

func encodeFault(err error) *jsonrpc2.Error {
	f := fault.From(err)
	out := &jsonrpc2.Error{Code: faultCode, Message: f.Msg}
	out.SetError(wire.Fault{Kind: string(f.Kind), Msg: f.Msg, RetryAfter: f.RetryAfter})
	return out
}

// writeReply encodes and writes a reply. Replies of one connection are encoded one after the other, as those
// that wait for its reader would hold memory twice.
func (f *frames) writeReply(r reply, body any) error {
	f.replies.Lock()
	defer f.replies.Unlock()
	w := replyWriter{frames: f}
	defer func() { f.account.Give(w.taken) }()
	if sized, ok := body.(wire.Sized); ok && !w.take(encodedFactor*sized.ReplySize()) {
		return errNoRoom
	}
	_, w.held = body.(wire.Holder)
	err := json.NewEncoder(&w).Encode(r)
	if err != nil && !w.written {
		r.Result, r.Error = nil, encodeFault(errors.Wrap(err, "encode reply"))
		err = json.NewEncoder(&w).Encode(r)
	}
	return errors.Wrap(err, "write reply")
}

// replyWriter writes an encoded reply as one message.
type replyWriter struct {
	frames  *frames
	held    bool // the reply holds its memory itself
	taken   int64
	written bool // the reply was encoded, and written unless that failed
}

// take takes memory for the reply. Without room it closes the connection: whoever waits for the reply learns
// that it is lost.
func (w *replyWriter) take(n int64) bool {
	if !w.frames.account.Take(n) && !w.frames.waitForRoom(n) {
		klog.InfoS("connection closed: no room for a response", "bytes", n)
		w.frames.Close()
		return false
	}
	w.taken += n
	return true
}

// settle corrects what was taken for a reply, now that its encoded size is known.
func (w *replyWriter) settle(encoded int64) bool {
	if w.held {
		return true
	}
	need := writtenFactor * encoded
	if need > w.taken {
		return w.take(need - w.taken)
	}
	w.frames.account.Give(w.taken - need)
	w.taken = need
	return true
}

// Write implements io.Writer. The encoder calls it once.
func (w *replyWriter) Write(encoded []byte) (int, error) {
	w.written = true
	if !w.settle(int64(len(encoded))) {
		return 0, errNoRoom
	}
	length := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64), uint64(len(encoded)))
	if len(encoded) > maxCopied {
		return len(encoded), w.frames.write(length, encoded)
	}
	return len(encoded), w.frames.write(append(length, encoded...))
}
