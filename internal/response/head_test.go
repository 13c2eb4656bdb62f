package response

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/skylarkwood/skylarkwood/internal/response/responsetest"
)

// checkAll passes a text to a checker in pieces of the given sizes. It returns how many bytes passed, and how
// many of them were the heads.
func checkAll(text string, sizes func() int) (passed, head int, err error) {
	var h headChecker
	h.begin()
	for passed < len(text) {
		piece := text[passed:min(passed+sizes(), len(text))]
		n, err := h.check([]byte(piece))
		passed += n
		if err != nil {
			return passed, h.size, err
		}
	}
	return passed, h.size, nil
}

// Guards against a head that the checker and the parser end at different bytes, so that bytes which were not
// checked are parsed as fields.
func TestCheckerAndParserAgreeOnTheEndOfTheHead(t *testing.T) {
	texts := map[string]string{}
	for _, list := range []map[string]string{responsetest.Whole("X-F: 1\r\n", "body"), responsetest.Malformed("X-F: 1\r\n", "broken")} {
		for name, text := range list {
			texts[name] = text
		}
	}
	names := make([]string, 0, len(texts))
	for name := range texts {
		names = append(names, name)
	}
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(texts[rapid.SampledFrom(names).Draw(t, "text")])
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			at := rapid.IntRange(0, len(text)-1).Draw(t, "at")
			text[at] = rapid.SampledFrom([]byte("\r\n :\t\x00aT01\x7f")).Draw(t, "byte")
		}
		_, head, err := checkAll(string(text), func() int { return rapid.IntRange(1, 40).Draw(t, "size") })
		if err != nil {
			return
		}
		rest := strings.NewReader(string(text))
		br := bufio.NewReaderSize(rest, 16)
		for {
			resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodHead})
			if err != nil {
				return // the parser refuses more
			}
			if resp.StatusCode >= 200 {
				break
			}
		}
		parsed := len(text) - rest.Len() - br.Buffered()
		if parsed != head {
			t.Fatalf("%q: the head ends after %d bytes for the parser and after %d for the checker", text, parsed, head)
		}
	})
}

// Guards against refusing a head at its limit, and against accepting one byte more.
func TestHeadSizeIsLimited(t *testing.T) {
	const start, end = "HTTP/1.1 200 OK\r\nX: ", "\r\n\r\n"
	largest := start + strings.Repeat("x", MaxHeadBytes-len(start)-len(end)) + end
	whole := func() int { return len(largest) + 1 }
	_, _, err := checkAll(largest+strings.Repeat("b", MaxHeadBytes), whole)
	assert.NilError(t, err)
	_, _, err = checkAll(start+"x"+largest[len(start):], whole)
	assert.ErrorIs(t, err, ErrHeadTooLarge)
}

func BenchmarkHead(b *testing.B) {
	const text = "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nResponse-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"Content-Type: text/event-stream\r\nServer-Load: 3,0,16\r\nKeep-Alive: timeout=5\r\nContent-Length: 600\r\n\r\n"
	var h headChecker
	for b.Loop() {
		h.begin()
		if _, err := h.check([]byte(text)); err != nil {
			b.Fatal(err)
		}
	}
}
