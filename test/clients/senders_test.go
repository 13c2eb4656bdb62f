//go:build clients

package clients

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	meshv1 "github.com/skylarkwood/skylarkwood/api/mesh/v1"
	"github.com/skylarkwood/skylarkwood/internal/daemon"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

// Sizes of a crowd whose messages name another sender each time.
const (
	senderCrowd    = 40
	sendersEach    = 2000
	senderNameSize = 4 << 10
)

// senderName returns the address of a process that does not exist. Its port is a name, as long as wanted.
func senderName(c *conn, i, size int) string {
	name := fmt.Sprintf("127.0.0.1:%s-%d", c.attempt, i)
	return name + strings.Repeat("n", max(size-len(name), 0))
}

// senderAddress returns a valid address of a process that does not exist.
func senderAddress(c *conn, i int) string {
	client := c.LocalAddr().(*net.TCPAddr).Port
	return fmt.Sprintf("127.9.%d.%d:%d", client%256, i/256%256, 1+client/256*256+i%256)
}

// sendHellos sends heartbeats of processes that do not exist.
func sendHellos(name func(c *conn, i int) string) func(c *conn) error {
	return func(c *conn) error {
		_ = c.SetDeadline(time.Now().Add(crowdTimeout / 2))
		for i := range sendersEach {
			hello, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": i, "method": wire.MethodHello,
				"params": wire.Envelope{Revision: 1 << 40, From: name(c, i), Body: json.RawMessage("{}")}})
			if err != nil {
				return err
			}
			if _, err := c.Write(append(binary.AppendUvarint(nil, uint64(len(hello))), hello...)); err != nil {
				return err
			}
			length, err := binary.ReadUvarint(c)
			if err != nil {
				return err
			}
			if err := c.skip(int(length)); err != nil {
				return err
			}
		}
		return nil
	}
}

// Guards against processes that end by the memory and the connections of senders that messages only name.
func TestSendersThatDoNotExistAtLinkPorts(t *testing.T) {
	for name, sender := range map[string]func(c *conn, i int) string{
		"long names":  func(c *conn, i int) string { return senderName(c, i, senderNameSize) },
		"short names": func(c *conn, i int) string { return senderName(c, i, 0) },
		"addresses":   senderAddress,
	} {
		t.Run("entry, "+name, func(t *testing.T) {
			c := startCluster(t, 0)
			c.withstand(c.entry, entryMemoryMB, &crowd{addr: c.entry.link, clients: senderCrowd, send: sendHellos(sender)})
		})
		t.Run("sidecar, "+name, func(t *testing.T) {
			c := startCluster(t, 0)
			c.withstand(c.sidecar, sidecarMemoryMB, &crowd{addr: c.sidecar.link, clients: senderCrowd, send: sendHellos(sender)})
		})
		t.Run("router, "+name, func(t *testing.T) {
			r := startRouter(t, 0)
			r.withstand(&crowd{addr: r.settings.Router.Peers, clients: senderCrowd, send: sendHellos(sender)})
			assertAcceptsCalls(t, r.settings.Router.Peers)
		})
	}
}

// Guards against a sidecar that ends by the memory and the connections of what it tells senders of positions
// for stages that are not open.
func TestParcelsForUnknownStagesAtDataPort(t *testing.T) {
	const limit, reserved = 500, 200 // reserved for files
	c := startCluster(t, limit)
	end := c.sidecar.observe()
	c.withstand(c.sidecar, sidecarMemoryMB, &crowd{addr: c.sidecar.http, clients: senderCrowd, send: func(cc *conn) error {
		_ = cc.SetDeadline(time.Now().Add(crowdTimeout / 2))
		if err := cc.write(cc.head(carryPath, "Content-Type: application/connect+proto", "Content-Length: 1000000000")); err != nil {
			return err
		}
		for i := range sendersEach {
			raw, err := proto.Marshal(&meshv1.Parcel{From: senderName(cc, i, senderNameSize), Customer: customer, RequestId: daemon.NewID(), Data: [][]byte{[]byte("d")}})
			if err != nil {
				return err
			}
			if _, err := cc.Write(envelope(raw)); err != nil {
				return err
			}
		}
		return nil
	}})
	peak := end()
	t.Logf("%d sockets of %d", peak.sockets, limit-reserved)
	assert.Assert(t, peak.sockets <= limit-reserved, "%d sockets, limit %d", peak.sockets, limit-reserved)
}
