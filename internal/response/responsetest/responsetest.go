// Package responsetest contains responses for tests of programs that read responses.
package responsetest

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

// Serve starts a server that passes each of its connections to serve and then closes it. The server ends with the
// test.
func Serve(t *testing.T, serve func(c *net.TCPConn)) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// Malformed returns responses that are not valid in HTTP/1.1, by what is wrong with them. Their heads contain
// fields, each with its line end, and a lenient reader takes body, or more, for their bodies.
func Malformed(fields, body string) map[string]string {
	const ok = "HTTP/1.1 200 OK\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	whole := ok + fields + length + "\r\n" + body
	withStatus := func(line string) string { return line + "\r\n" + fields + length + "\r\n" + body }
	withField := func(line string) string { return ok + fields + length + line + "\r\n\r\n" + body }
	return map[string]string{
		"status 000":                       withStatus("HTTP/1.1 000 None"),
		"status 000 around another":        fmt.Sprintf("HTTP/1.1 000 None\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole),
		"status 000 before another":        "HTTP/1.1 000 None\r\n\r\n" + whole,
		"status 099":                       withStatus("HTTP/1.1 099 None"),
		"status -00":                       withStatus("HTTP/1.1 -00 None"),
		"status +20":                       withStatus("HTTP/1.1 +20 OK"),
		"status 2x0":                       withStatus("HTTP/1.1 2x0 OK"),
		"status 20":                        withStatus("HTTP/1.1 20 OK"),
		"status 2000":                      withStatus("HTTP/1.1 2000 OK"),
		"status 600":                       withStatus("HTTP/1.1 600 Broken"),
		"status 999":                       withStatus("HTTP/1.1 999 Broken"),
		"status 101":                       "HTTP/1.1 101 Switching Protocols\r\n\r\n" + whole,
		"no status":                        withStatus("HTTP/1.1"),
		"two blanks before the status":     withStatus("HTTP/1.1  200 OK"),
		"tab before the status":            withStatus("HTTP/1.1\t200 OK"),
		"another version":                  withStatus("HTTP/2.0 200 OK"),
		"another protocol":                 withStatus("ICY 200 OK"),
		"empty line before the head":       "\r\n" + whole,
		"blank in a name":                  withField("Bad Name: 1"),
		"blank after a name":               withField("Bad-Name : 1"),
		"blank before a name":              withField(" Bad-Name: 1"),
		"tab before a name":                withField("\tBad-Name: 1"),
		"blank before the first name":      ok + " Bad-Name: 1\r\n" + fields + length + "\r\n" + body,
		"blank after a length":             ok + fields + "Content-Length : 1\r\n\r\n" + body,
		"blank after a second length":      withField("Content-Length : 1"),
		"blank after a transfer encoding":  ok + fields + "Transfer-Encoding : chunked\r\n\r\n" + chunks + "\r\n",
		"blank before a transfer encoding": ok + fields + "X-A: 1\r\n Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
		"blank after a signature":          withField("Response-Signature : 2"),
		"tab in a name":                    withField("Bad\tName: 1"),
		"control byte in a name":           withField("Bad\x01Name: 1"),
		"zero byte in a name":              withField("Bad\x00Name: 1"),
		"delete in a name":                 withField("Bad\x7fName: 1"),
		"carriage return in a name":        withField("Bad\rName: 1"),
		"byte beyond ASCII in a name":      withField("Bad\xe9Name: 1"),
		"delimiter in a name":              withField("Bad(Name): 1"),
		"empty name":                       withField(": 1"),
		"no colon":                         withField("Bad-Name"),
		"carriage return before the end":   withField("X-A: 1\r"),
		"control byte in a value":          withField("X-A: \x01"),
		"two lengths":                      withField("Content-Length: 1"),
		"length with a sign":               ok + fields + "Content-Length: +6\r\n\r\n" + body,
		"unknown transfer encoding":        ok + fields + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks + "\r\n",
		"chunks in HTTP/1.0":               "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
		"blank in a trailer's name":        ok + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "Bad Name: 1\r\n\r\n",
		"control byte in a trailer's name": ok + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "Bad\x01Name: 1\r\n\r\n",
		"blank in an interim response":     "HTTP/1.1 103 Early Hints\r\nBad Name: 1\r\n\r\n" + whole,
		"status 000 after interim ones":    "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + withStatus("HTTP/1.1 000 None"),
	}
}

// Whole returns well-formed responses with the same fields and body, by their form.
func Whole(fields, body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	rest := fields + length + "\r\n" + body
	return map[string]string{
		"length":              "HTTP/1.1 200 OK\r\n" + rest,
		"bare newlines":       strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+fields+length+"\r\n", "\r\n", "\n") + body,
		"no reason":           "HTTP/1.1 200\r\n" + rest,
		"empty reason":        "HTTP/1.1 200 \r\n" + rest,
		"HTTP/1.0":            "HTTP/1.0 200 OK\r\n" + rest,
		"until the close":     "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body,
		"HTTP/1.0 to the end": "HTTP/1.0 200 OK\r\n" + fields + "\r\n" + body,
		"chunks":              "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
		"trailer":             "HTTP/1.1 200 OK\r\n" + fields + "Trailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "X-T: 1\r\n\r\n",
		"interim responses":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"all token bytes":     "HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~09azAZ: 1\r\n" + rest,
		"unusual values":      "HTTP/1.1 200 OK\r\nX-Empty:\r\nX-Tab:\t1\t\r\nX-Colon: a:b : c\r\nX-Latin: \xe9\r\n" + rest,
	}
}
