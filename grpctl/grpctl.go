// Package grpctl is the group control adapter that uses HTTP and JSON at each slot's
// control address.
package grpctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/group"
	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/quorum"
)

func init() {
	group.Adapters.Register("http", func() (group.Control, error) { return New(nil), nil })
}

// maxReplyBytes bounds the body of a reply.
const maxReplyBytes = 1 << 20

// Client implements group.Control. Create it with New.
type Client struct {
	http http.Client
}

// New returns a client that opens connections with dial, or with the default dialer if
// dial is nil.
func New(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	return &Client{http: http.Client{Transport: transport}}
}

// Report returns the term and position of one slot.
func (client *Client) Report(ctx context.Context, slot string) (quorum.Report, error) {
	var report quorum.Report
	err := client.call(ctx, http.MethodGet, slot, "/report", nil, &report)
	return report, err
}

// Progress returns the positions of the slots in the term of the primary at slot. The
// primary answers when the acknowledged position differs from after, or when wait has
// passed.
func (client *Client) Progress(ctx context.Context, slot string, after posn.Position, wait time.Duration) ([]quorum.Report, error) {
	query := url.Values{"after": {after.String()}, "waitMs": {fmt.Sprint(wait.Milliseconds())}}
	var reports []quorum.Report
	err := client.call(ctx, http.MethodGet, slot, "/progress", query, &reports)
	return reports, err
}

// Seal makes the slot refuse everything from terms below term, and returns its report.
func (client *Client) Seal(ctx context.Context, slot string, term uint64) (quorum.Report, error) {
	return client.postTerm(ctx, slot, "/seal", term)
}

// Promote makes the slot the primary of term, and returns its report.
func (client *Client) Promote(ctx context.Context, slot string, term uint64) (quorum.Report, error) {
	return client.postTerm(ctx, slot, "/promote", term)
}

// postTerm sends a command for a term and returns the slot's report.
func (client *Client) postTerm(ctx context.Context, slot, path string, term uint64) (quorum.Report, error) {
	var report quorum.Report
	err := client.call(ctx, http.MethodPost, slot, path, url.Values{"term": {fmt.Sprint(term)}}, &report)
	return report, err
}

// call sends one request to a slot's control address and decodes its reply.
func (client *Client) call(ctx context.Context, method, slot, path string, query url.Values, reply any) error {
	target := url.URL{Scheme: "http", Host: slot, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), http.NoBody)
	if err != nil {
		return err
	}
	response, err := client.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("slot %s answered with status %d to %s: %s", slot, response.StatusCode, path, body)
	}
	return json.Unmarshal(body, reply)
}
