package model

import (
	"net/netip"

	"github.com/pkg/errors"
)

// CheckAddress returns an error if address does not name a port of one host, as IP:PORT.
func CheckAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return errors.Errorf("invalid address %.40q", address)
	}
	return nil
}
