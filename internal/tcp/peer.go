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
	// SinceData and SinceSegment are the times since the last data and the last segment of the
	// peer arrived. 0 means now or unknown.
	SinceData, SinceSegment time.Duration
}

// maxPeerAge is the longest time since a segment that is taken for known. The kernel counts from
// its own start if none has arrived.
const maxPeerAge = time.Hour

// states of a connection whose peer will send no more, from the kernel's enum of TCP states.
const (
	stateTimeWait  = 6
	stateClose     = 7
	stateCloseWait = 8
	stateLastAck   = 9
	stateClosing   = 11
)

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
		SinceData:    age(info.Last_data_recv),
		SinceSegment: age(info.Last_ack_recv),
	}
}

func peerEnded(state uint8) bool {
	switch state {
	case stateTimeWait, stateClose, stateCloseWait, stateLastAck, stateClosing:
		return true
	}
	return false
}

// age converts a time of the kernel, in milliseconds.
func age(ms uint32) time.Duration {
	d := time.Duration(ms) * time.Millisecond
	if d > maxPeerAge {
		return 0
	}
	return d
}
