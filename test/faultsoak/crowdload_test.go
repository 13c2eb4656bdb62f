package faultsoak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// unreadPatience is how long a caller waits for its request to be read, and callerDeadline
	// for the response.
	unreadPatience = time.Second
	callerDeadline = 4 * time.Second
	// crowdShare is the share of new connections that the balancer hands to one router.
	crowdShare = 0.9
)

// outcome is what became of one try of a request on a new connection.
type outcome int

const (
	served  outcome = iota
	refused         // refused, closed unread, or not read in time
	failed          // read, and not served
)

// try is one try of a request.
type try struct {
	at      time.Time
	router  *router
	first   bool // not a retry
	outcome outcome
	detail  string
}

// crowd sends requests, each on a new connection, of which most go to one router.
type crowd struct {
	site *site

	mu      sync.Mutex
	rnd     *rand.Rand
	crowded []*router // most new connections go to one of them; empty for none
	tries   []try
}

// pick returns the router that the balancer hands a new connection to.
func (c *crowd) pick() *router {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crowded) > 0 && c.rnd.Float64() < crowdShare {
		return c.crowded[c.rnd.IntN(len(c.crowded))]
	}
	return c.site.routers[c.rnd.IntN(len(c.site.routers))]
}

// other returns another router, for a retry.
func (c *crowd) other(r *router) *router {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if o := c.site.routers[c.rnd.IntN(len(c.site.routers))]; o != r {
			return o
		}
	}
}

func (c *crowd) move(to ...*router) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crowded = to
}

// run sends requests at a rate for a time and returns once all have been answered. Each of them
// opens a connection, unless kept is set.
func (c *crowd) run(d time.Duration, perSecond int, kept bool, kinds ...string) {
	var all sync.WaitGroup
	var idle keptConns
	started := time.Now()
	interval := time.Second / time.Duration(perSecond)
	for n := range int(d / interval) {
		time.Sleep(time.Until(started.Add(time.Duration(n) * interval)))
		all.Go(func() {
			if kept {
				c.sendKept(&idle, kinds[n%len(kinds)])
				return
			}
			c.send(kinds[n%len(kinds)])
		})
	}
	all.Wait()
	idle.close()
}

// keptConns holds open connections of callers.
type keptConns struct {
	mu    sync.Mutex
	conns []*keptConn
}

type keptConn struct {
	net.Conn
	br     *bufio.Reader
	router *router
}

func (k *keptConns) take() *keptConn {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.conns) == 0 {
		return nil
	}
	c := k.conns[0]
	k.conns = k.conns[1:]
	return c
}

func (k *keptConns) put(c *keptConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conns = append(k.conns, c)
}

func (k *keptConns) close() {
	for c := k.take(); c != nil; c = k.take() {
		c.Close()
	}
}

// sendKept sends one request on an open connection, if there is one.
func (c *crowd) sendKept(idle *keptConns, kind string) {
	conn := idle.take()
	if conn == nil {
		r := c.pick()
		nc, err := net.DialTimeout("tcp", r.settings.Router.Callers, unreadPatience)
		if err != nil {
			c.record(try{at: time.Now(), router: r, first: true, outcome: refused, detail: "connect: " + errorClass(err)})
			return
		}
		conn = &keptConn{Conn: nc, br: bufio.NewReader(nc), router: r}
	}
	at := time.Now()
	o, detail, reusable := exchangeOnce(conn, conn.br, kind)
	c.record(try{at, conn.router, true, o, detail})
	if reusable {
		idle.put(conn)
		return
	}
	conn.Close()
	if o == refused {
		c.sendTo(c.other(conn.router), kind, false)
	}
}

func (c *crowd) record(t try) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tries = append(c.tries, t)
}

// send sends one request, and once more to another router if it was not read.
func (c *crowd) send(kind string) {
	r := c.pick()
	if c.sendTo(r, kind, true) == refused {
		c.sendTo(c.other(r), kind, false)
	}
}

// sendTo sends a request to a router on a new connection.
func (c *crowd) sendTo(r *router, kind string, first bool) outcome {
	at := time.Now()
	o, detail := refused, ""
	conn, err := net.DialTimeout("tcp", r.settings.Router.Callers, unreadPatience)
	if err != nil {
		detail = "connect: " + errorClass(err)
	} else {
		o, detail, _ = exchangeOnce(conn, bufio.NewReader(conn), kind)
		conn.Close()
	}
	c.record(try{at, r, first, o, detail})
	return o
}

// exchangeOnce sends a request on a connection and reads the response.
func exchangeOnce(conn net.Conn, br *bufio.Reader, kind string) (o outcome, detail string, reusable bool) {
	req, err := newRequest(kind, "key", fmt.Sprintf("%x-%x", os.Getpid(), attempts.Add(1)))
	if err != nil {
		return failed, err.Error(), false
	}
	req.Header.Set("Deadline-Ms", fmt.Sprint(callerDeadline.Milliseconds()))
	_ = conn.SetDeadline(time.Now().Add(callerDeadline))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	abandoned := abandonUnread(ctx, conn)
	if err := req.Write(conn); err != nil {
		return refused, "write: " + errorClass(err), false
	}
	resp, err := http.ReadResponse(br, req)
	switch {
	case err != nil && abandoned():
		return refused, "not read in time", false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failed, "no response", false
	case err != nil:
		return refused, "closed: " + errorClass(err), false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return failed, "incomplete: " + errorClass(err), false
	}
	if resp.StatusCode != http.StatusOK {
		return failed, fmt.Sprint(resp.StatusCode, " ", strings.TrimSpace(string(body))), !resp.Close
	}
	return served, "", !resp.Close
}

// errorClass returns an error's text without addresses.
func errorClass(err error) string {
	text := err.Error()
	return text[strings.LastIndex(text, ": ")+1:]
}

// abandonUnread closes a connection whose request the router has not read within
// unreadPatience. The result reports whether it has.
func abandonUnread(ctx context.Context, conn net.Conn) func() bool {
	abandoned := make(chan bool, 1)
	go func() {
		defer close(abandoned)
		select {
		case <-ctx.Done():
			return
		case <-time.After(unreadPatience):
		}
		if unread(conn.RemoteAddr().(*net.TCPAddr).Port, conn.LocalAddr().(*net.TCPAddr).Port) {
			abandoned <- true
			conn.Close()
		}
	}()
	return func() bool {
		select {
		case a := <-abandoned:
			return a
		default:
			return false
		}
	}
}

// unreadTable is a recent copy of the kernel's table of connections. Reading it takes long.
var unreadTable struct {
	mu     sync.Mutex
	readAt time.Time
	rows   string
}

// unread reports whether bytes that arrived at a port of this machine from another one have not
// been read.
func unread(local, remote int) bool {
	const maxAge = 100 * time.Millisecond
	unreadTable.mu.Lock()
	if time.Since(unreadTable.readAt) > maxAge {
		raw, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			panic(err)
		}
		unreadTable.rows, unreadTable.readAt = string(raw), time.Now()
	}
	rows := unreadTable.rows
	unreadTable.mu.Unlock()
	ends := fmt.Sprintf("0100007F:%04X 0100007F:%04X ", local, remote)
	_, row, found := strings.Cut(rows, ends)
	fields := strings.Fields(row)
	if !found || len(fields) < 2 {
		return false
	}
	_, queued, _ := strings.Cut(fields[1], ":")
	return strings.Trim(queued, "0") != ""
}
