package front

import (
	"log"
	"strconv"
	"strings"

	"k8s.io/klog/v2"
)

// klogWriter logs the messages of net/http about single connections.
type klogWriter struct{}

func (klogWriter) Write(p []byte) (int, error) {
	klog.V(1).InfoS("net/http reported an error on a caller's connection", "msg", strings.TrimSpace(string(p)))
	return len(p), nil
}

func klogLogger() *log.Logger { return log.New(klogWriter{}, "", 0) }

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }
