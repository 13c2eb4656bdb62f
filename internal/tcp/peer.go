package tcp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// PeerState is what the kernel knows about the peer of a connection.
type PeerState struct {
	// Known is false if the kernel does not tell the state. The other fields are not set then.
	Known bool
	// Ended is set if the peer closed the connection or its sending side, or the connection was
	// reset, also if bytes that it sent before are still unread.
	Ended bool
	// Reset is set if neither side can send: the connection was reset or timed out.
	Reset bool
	// SinceData and SinceSegment are the times since the last data and the last segment of the
	// peer arrived. 0 means now or unknown.
	SinceData, SinceSegment time.Duration
	// Acknowledged is the number of bytes that the peer has acknowledged. Unacknowledged is set if it has
	// others to acknowledge.
	Acknowledged   uint64
	Unacknowledged bool
}

// maxSinceArrival is the longest time since an arrival that is taken for known. The kernel counts from
// its own start if nothing has arrived.
const maxSinceArrival = time.Hour

// Peer returns the state of a connection's peer. It neither blocks nor consumes bytes.
func Peer(c net.Conn) PeerState {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return PeerState{}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return PeerState{}
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return PeerState{}
	}
	return PeerState{
		Known:        true,
		Ended:        peerEnded(info.State),
		Reset:        info.State == unix.BPF_TCP_CLOSE,
		SinceData:    sinceArrival(info.Last_data_recv),
		SinceSegment: sinceArrival(info.Last_ack_recv),

		Acknowledged:   info.Bytes_acked,
		Unacknowledged: info.Unacked > 0 || info.Notsent_bytes > 0,
	}
}

// peerEnded reports whether the peer of a connection in a TCP state sends no more.
func peerEnded(state uint8) bool {
	switch state {
	case unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING, unix.BPF_TCP_TIME_WAIT, unix.BPF_TCP_CLOSE:
		return true
	}
	return false
}

// sinceArrival converts the milliseconds that the kernel counts since an arrival; 0 if nothing arrived yet.
func sinceArrival(ms uint32) time.Duration {
	d := time.Duration(ms) * time.Millisecond
	if d > maxSinceArrival {
		return 0
	}
	return d
}
