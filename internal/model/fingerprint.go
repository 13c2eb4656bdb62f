package model

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
)

// Fingerprint identifies a request by its customer, method, host, target, body and the parts of its
// prompt.
// Retries of a request have the same fingerprint but different attempt ids. It is a
// truncated cryptographic hash, so that a customer cannot forge another request's
// fingerprint.
type Fingerprint [16]byte

// Fingerprint returns the fingerprint of a customer's call. It reads the complete body.
func (c *Call) Fingerprint(customer string) Fingerprint {
	h := sha256.New()
	// Writing to a hash does not fail.
	for _, field := range []string{customer, c.Method, c.Host, c.Target} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = h.Write(size[:])
		_, _ = h.Write([]byte(field))
	}
	for _, segment := range c.Body {
		_, _ = h.Write(segment)
	}
	if len(c.PromptParts) > 0 || c.Session != "" {
		prompt := sha256.Sum256([]byte(strings.Join(c.PromptParts, ",") + "," + c.Session))
		_, _ = h.Write(prompt[:])
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// String returns the fingerprint in hexadecimal.
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
