package wire

import (
	"encoding/binary"
	"math"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// fractionScale is the resolution of encoded fractions: 1/1000. A thousandth of an engine's
// time or of a Mbit/s changes no choice.
const fractionScale = 1000

// errTruncated is returned if a message ends early or declares more items than it
// contains.
var errTruncated = errors.New("packed message is truncated")

// packer encodes a message without field names, in a fixed field order. Routers
// exchange about eighty heartbeats per second, and decoding them as JSON would use much
// of a small router's CPU time.
type packer struct{ b []byte }

// number encodes a count. Negative values are encoded as 0.
func (p *packer) number(n int64) { p.b = binary.AppendUvarint(p.b, uint64(max(n, 0))) }

func (p *packer) text(s string) {
	p.number(int64(len(s)))
	p.b = append(p.b, s...)
}

func (p *packer) incarnation(inc model.Incarnation) {
	p.text(inc.ID)
	p.number(inc.Born)
}

// fraction encodes a number rounded to 1/fractionScale.
func (p *packer) fraction(f float64) { p.number(int64(math.Round(f * fractionScale))) }

func (p *packer) flag(set bool) {
	if set {
		p.number(1)
		return
	}
	p.number(0)
}

// unpacker decodes the output of a packer. After the first error it returns zero
// values.
type unpacker struct {
	b   []byte
	err error
}

func (u *unpacker) number() int64 {
	n, size := binary.Uvarint(u.b)
	if size <= 0 || n > math.MaxInt64 {
		u.setTruncated()
		return 0
	}
	u.b = u.b[size:]
	return int64(n)
}

// count decodes the number of items that follow. Each item takes at least one byte, so
// a message cannot make the decoder allocate more items than the message has bytes.
func (u *unpacker) count() int {
	n := u.number()
	if n > int64(len(u.b)) {
		u.setTruncated()
		return 0
	}
	return int(n)
}

func (u *unpacker) text() string {
	n := u.count()
	s := string(u.b[:n])
	u.b = u.b[n:]
	return s
}

func (u *unpacker) incarnation() model.Incarnation {
	return model.Incarnation{ID: u.text(), Born: u.number()}
}

func (u *unpacker) fraction() float64 { return float64(u.number()) / fractionScale }

func (u *unpacker) flag() bool { return u.number() != 0 }

func (u *unpacker) setTruncated() {
	u.err = errTruncated
	u.b = nil
}

// NotificationHeader precedes the body of a packed message, as Envelope wraps the body
// of a JSON message.
type NotificationHeader struct {
	Clock    hlc.Timestamp
	Revision int64
	From     string // link address of the sender
	Method   Method
}

// Pack returns the encoded header followed by body.
func (h NotificationHeader) Pack(body []byte) []byte {
	p := &packer{}
	p.number(h.Clock.Wall)
	p.number(h.Clock.Logical)
	p.number(h.Revision)
	p.text(h.From)
	p.text(string(h.Method))
	return append(p.b, body...)
}

// UnpackNotification decodes the output of NotificationHeader.Pack and returns the
// header and the body. It returns an error if the message is truncated.
func UnpackNotification(raw []byte) (NotificationHeader, []byte, error) {
	u := &unpacker{b: raw}
	h := NotificationHeader{
		Clock:    hlc.Timestamp{Wall: u.number(), Logical: u.number()},
		Revision: u.number(),
		From:     u.text(),
		Method:   Method(u.text()),
	}
	return h, u.b, u.err
}
