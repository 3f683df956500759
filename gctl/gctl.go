// Package gctl is the group control adapter that speaks HTTP and JSON to each
// slot's control address.
package gctl

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

const maxReplyBytes = 1 << 20

// Client is a group.Control; New makes one.
type Client struct {
	http http.Client
}

// New makes a client that reaches slots through dial, or the network if nil.
func New(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	return &Client{http: http.Client{Transport: transport}}
}

// Report asks one slot for its term and position.
func (client *Client) Report(ctx context.Context, slot string) (quorum.Report, error) {
	var report quorum.Report
	err := client.call(ctx, http.MethodGet, slot, "/report", nil, &report)
	return report, err
}

// Progress asks the primary for what each slot held under its term.
func (client *Client) Progress(ctx context.Context, slot string, after posn.Position, wait time.Duration) ([]quorum.Report, error) {
	query := url.Values{"after": {after.String()}, "waitMs": {fmt.Sprint(wait.Milliseconds())}}
	var reports []quorum.Report
	err := client.call(ctx, http.MethodGet, slot, "/progress", query, &reports)
	return reports, err
}

// Seal makes the slot refuse everything from terms below term.
func (client *Client) Seal(ctx context.Context, slot string, term uint64) (quorum.Report, error) {
	return client.order(ctx, slot, "/seal", term)
}

// Promote makes the slot the primary of term.
func (client *Client) Promote(ctx context.Context, slot string, term uint64) (quorum.Report, error) {
	return client.order(ctx, slot, "/promote", term)
}

func (client *Client) order(ctx context.Context, slot, path string, term uint64) (quorum.Report, error) {
	var report quorum.Report
	err := client.call(ctx, http.MethodPost, slot, path, url.Values{"term": {fmt.Sprint(term)}}, &report)
	return report, err
}

func (client *Client) call(ctx context.Context, method, slot, path string, query url.Values, reply any) error {
	address := url.URL{Scheme: "http", Host: slot, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, address.String(), http.NoBody)
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
		return errors.Newf("slot %s answered %d to %s: %s", slot, response.StatusCode, path, body)
	}
	return json.Unmarshal(body, reply)
}
