package leader

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against malformed entries: only one with a valid address may be used.
func FuzzDecodeMember(f *testing.F) {
	for _, seed := range []string{`{"instance":"r","address":"10.0.0.1:7340","domain":"a"}`, `{"address":"nowhere"}`, `{"address":7}`, `{}`, `null`, "\xff"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := DecodeMember(raw)
		if err == nil {
			_, err = netip.ParseAddrPort(m.Address)
			assert.NilError(t, err)
		}
	})
}
