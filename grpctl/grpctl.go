// Package grpctl is the group control adapter that uses HTTP and JSON at the control
// address of each slot.
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

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 1 << 20

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

// Report returns the term and position of the slot with the control address.
func (client *Client) Report(ctx context.Context, address string) (quorum.Report, error) {
	var report quorum.Report
	err := client.call(ctx, http.MethodGet, address, "/report", nil, &report)
	return report, err
}

// Progress asks the primary at address for the positions that each slot has reached in the
// primary's term. The primary responds when the acknowledged position differs from after,
// or when wait has passed.
func (client *Client) Progress(ctx context.Context, address string, after posn.Position, wait time.Duration) ([]quorum.Report, error) {
	query := url.Values{"after": {after.String()}, "waitMs": {fmt.Sprint(wait.Milliseconds())}}
	var reports []quorum.Report
	err := client.call(ctx, http.MethodGet, address, "/progress", query, &reports)
	return reports, err
}

// Seal makes the slot refuse log entries of terms below term, and returns its report. A
// seal that is not granted is no error: the report says so (group.Control).
func (client *Client) Seal(ctx context.Context, address string, term uint64) (quorum.Report, error) {
	return client.postTerm(ctx, address, "/seal", term)
}

// Promote makes the slot the primary of term, and returns its report.
func (client *Client) Promote(ctx context.Context, address string, term uint64) (quorum.Report, error) {
	return client.postTerm(ctx, address, "/promote", term)
}

// postTerm sends a command for a term and returns the slot's report.
func (client *Client) postTerm(ctx context.Context, address, path string, term uint64) (quorum.Report, error) {
	var report quorum.Report
	err := client.call(ctx, http.MethodPost, address, path, url.Values{"term": {fmt.Sprint(term)}}, &report)
	return report, err
}

// call sends one request to a slot's control address and decodes the body of the response
// into result.
func (client *Client) call(ctx context.Context, method, address, path string, query url.Values, result any) error {
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), http.NoBody)
	if err != nil {
		return err
	}
	response, err := client.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("slot at %s responded with status %d to %s: %s", address, response.StatusCode, path, body)
	}
	return json.Unmarshal(body, result)
}
