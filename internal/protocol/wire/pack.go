package wire

import (
	"encoding/binary"
	"math"

	"github.com/pkg/errors"

	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/model"
)

// thousandths is how finely fractions cross a link: a thousandth of an engine's
// time or of an Mbit/s changes no choice.
const thousandths = 1000

// errShort says that a packed message ends too early or names more than it holds.
var errShort = errors.New("packed message is cut short")

// packer writes a message without field names, in the order that its reader
// knows: routers tell each other some eighty messages a second, and reading them
// as JSON took more of a small router's processor than its callers' streams.
type packer struct{ b []byte }

// number writes a count; negative ones, which no count is, as 0.
func (p *packer) number(n int64) { p.b = binary.AppendUvarint(p.b, uint64(max(n, 0))) }

func (p *packer) text(s string) {
	p.number(int64(len(s)))
	p.b = append(p.b, s...)
}

// incarnation writes an engine's id and start.
func (p *packer) incarnation(inc model.Incarnation) {
	p.text(inc.ID)
	p.number(inc.Born)
}

// fraction writes a figure in thousandths.
func (p *packer) fraction(f float64) { p.number(int64(math.Round(f * thousandths))) }

func (p *packer) flag(set bool) {
	if set {
		p.number(1)
		return
	}
	p.number(0)
}

// unpacker reads what a packer wrote. After the first error it gives zero values.
type unpacker struct {
	b   []byte
	err error
}

func (u *unpacker) number() int64 {
	n, size := binary.Uvarint(u.b)
	if size <= 0 || n > math.MaxInt64 {
		u.fail()
		return 0
	}
	u.b = u.b[size:]
	return int64(n)
}

// count reads how many items follow; each takes a byte or more, so a message
// cannot make its reader reserve more memory than it has bytes.
func (u *unpacker) count() int {
	n := u.number()
	if n > int64(len(u.b)) {
		u.fail()
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

func (u *unpacker) fraction() float64 { return float64(u.number()) / thousandths }

func (u *unpacker) flag() bool { return u.number() != 0 }

func (u *unpacker) fail() {
	u.err = errShort
	u.b = nil
}

// NotificationHeader goes before the body of a packed message, as Envelope goes around
// that of a JSON message.
type NotificationHeader struct {
	Clock    hlc.Timestamp
	Revision int64
	From     string // link address of the sender
	Method   Method
}

// Pack writes the head and a body.
func (h NotificationHeader) Pack(body []byte) []byte {
	p := &packer{}
	p.number(h.Clock.Wall)
	p.number(h.Clock.Logical)
	p.number(h.Revision)
	p.text(h.From)
	p.text(string(h.Method))
	return append(p.b, body...)
}

// UnpackNotification reads what Pack wrote; an error says that it is cut short.
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
