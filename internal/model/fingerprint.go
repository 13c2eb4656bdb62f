package model

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Fingerprint names a request by what it asks for: customer, host, path and body. An
// attempt's own id tells nothing of what it repeats; two attempts with the same
// fingerprint are the same work. It is cut from a cryptographic hash, so that no
// customer can make a request that bears another request's fingerprint.
type Fingerprint [16]byte

// Fingerprint gives the fingerprint of a call that a customer makes. It reads the whole
// body once.
func (c *Call) Fingerprint(customer string) Fingerprint {
	h := sha256.New()
	for _, part := range []string{customer, c.Method, c.Host, c.Target} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		// Writing to a hash does not fail.
		_, _ = h.Write(size[:])
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(c.Body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// String gives it in hexadecimal, as logs show it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(f) {
		return errors.Errorf("fingerprint of %d digits", len(text))
	}
	_, err := hex.Decode(f[:], text)
	return err
}
