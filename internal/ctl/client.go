// Package ctl implements the commands of skylarkctl. The daemon's dev mode uses its client and
// its output functions.
package ctl

import (
	"context"
	"io"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	v1 "github.com/skylarkwood/skylarkwood/api/skylarkwood/v1"
	"github.com/skylarkwood/skylarkwood/api/skylarkwood/v1/skylarkwoodv1connect"
)

// Client sends requests to one entry.
type Client struct {
	Requests  skylarkwoodv1connect.RequestServiceClient
	Operators skylarkwoodv1connect.OperatorServiceClient
}

// NewClient returns a client of the entry with a base URL.
func NewClient(url string) *Client {
	hc := &http.Client{}
	return &Client{
		Requests:  skylarkwoodv1connect.NewRequestServiceClient(hc, url),
		Operators: skylarkwoodv1connect.NewOperatorServiceClient(hc, url),
	}
}

// Result is the response to a request and its outcome.
type Result struct {
	ID       string
	Response []byte
	Outcome  *v1.Outcome
}

// Submit sends a request and returns its whole response. It also copies the response to w as it
// arrives. It returns an error if the stream ended before the outcome arrived.
func (c *Client) Submit(ctx context.Context, m *v1.SubmitRequest, w io.Writer) (Result, error) {
	var res Result
	stream, err := c.Requests.Submit(ctx, connect.NewRequest(m))
	if err != nil {
		return res, err
	}
	defer stream.Close()
	for stream.Receive() {
		msg := stream.Msg()
		if msg.RequestId != "" {
			res.ID = msg.RequestId
		}
		if len(msg.Data) > 0 {
			res.Response = append(res.Response, msg.Data...)
			if _, err := w.Write(msg.Data); err != nil {
				return res, errors.Wrap(err, "write response")
			}
		}
		if msg.Outcome != nil {
			res.Outcome = msg.Outcome
		}
	}
	if err := stream.Err(); err != nil {
		return res, err
	}
	if res.Outcome == nil {
		return res, errors.Errorf("stream of request %s ended without an outcome; query it with skylarkctl outcome", res.ID)
	}
	return res, nil
}

// ReachableInstances returns the number of instances that the entry reaches, itself included.
func (c *Client) ReachableInstances(ctx context.Context) int {
	rep, err := c.Operators.GetStatus(ctx, connect.NewRequest(&v1.GetStatusRequest{}))
	if err != nil {
		return 0
	}
	n := 0
	for _, in := range rep.Msg.Instances {
		if in.Reachable && (in.Role == "entry" || in.Service != "") {
			n++
		}
	}
	return n
}
