// Package httpkv is the store adapter that speaks plain HTTP. A key is a
// resource; its version is the entity tag (RFC 9110); a watch is a conditional
// GET that waits (Prefer: wait, RFC 7240); a lease is a POST of JSON.
package httpkv

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/bramleydoor/bramleydoor/store"
)

func init() {
	store.Adapters.Register("http", func(address string) (store.Store, error) {
		return &Client{Base: address}, nil
	})
}

const (
	// maxValueBytes is more than the megabyte that the store allows.
	maxValueBytes = 2 << 20
	// watchWait is how long a watch asks the store to wait.
	watchWait = 10 * time.Second
	// watchSlack is added before a waiting watch counts as lost.
	watchSlack = 2 * time.Second
)

// Default call budgets of one client. They keep a VM from spending a fleet's
// share of the store's rates when something makes it call in a loop.
const (
	DefaultReadRate  = rate.Limit(20)
	DefaultWriteRate = rate.Limit(10)
	rateBurst        = 20
)

// Client is a store.Store. Set the fields before the first call.
type Client struct {
	// Base is the store's URL, such as http://10.0.0.1:8500.
	Base string
	// ReadRate and WriteRate bound the calls per second; zero is the default.
	ReadRate  rate.Limit
	WriteRate rate.Limit
	// Dial replaces the network in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	once   sync.Once
	reads  *rate.Limiter
	writes *rate.Limiter
	http   *http.Client
}

func (client *Client) init() {
	if client.ReadRate == 0 {
		client.ReadRate = DefaultReadRate
	}
	if client.WriteRate == 0 {
		client.WriteRate = DefaultWriteRate
	}
	client.reads = rate.NewLimiter(client.ReadRate, rateBurst)
	client.writes = rate.NewLimiter(client.WriteRate, rateBurst)
	transport := &http.Transport{DialContext: client.Dial, MaxIdleConnsPerHost: 4}
	client.http = &http.Client{Transport: transport}
}

// Get reads a key.
func (client *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	return client.read(ctx, key, nil)
}

// Watch waits for the key's version to differ from version.
func (client *Client) Watch(ctx context.Context, key string, version uint64) (store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	return client.read(ctx, key, http.Header{
		"If-None-Match": {entityTag(version)},
		"Prefer":        {fmt.Sprintf("wait=%d", int(watchWait.Seconds()))},
	})
}

func (client *Client) read(ctx context.Context, key string, header http.Header) (store.Entry, error) {
	client.once.Do(client.init)
	if err := client.reads.Wait(ctx); err != nil {
		return store.Entry{}, errors.Mark(err, store.ErrUnavailable)
	}
	response, err := client.call(ctx, http.MethodGet, "/kv/"+url.PathEscape(key), nil, header)
	if err != nil {
		return store.Entry{}, errors.Mark(err, store.ErrUnavailable)
	}
	switch response.status {
	case http.StatusOK:
		return store.Entry{Value: response.body, Version: response.version}, nil
	case http.StatusNotFound:
		return store.Entry{}, nil
	case http.StatusNotModified:
		return store.Entry{Version: response.version}, nil
	default:
		return store.Entry{}, errors.Wrapf(store.ErrUnavailable, "store answered %d", response.status)
	}
}

// Put writes a key if its version is still version.
func (client *Client) Put(ctx context.Context, key string, value []byte, version uint64) (store.Entry, error) {
	client.once.Do(client.init)
	if err := client.writes.Wait(ctx); err != nil {
		return store.Entry{}, errors.Mark(err, store.ErrUnavailable)
	}
	header := http.Header{"If-Match": {entityTag(version)}}
	if version == 0 {
		header = http.Header{"If-None-Match": {"*"}}
	}
	response, err := client.call(ctx, http.MethodPut, "/kv/"+url.PathEscape(key), value, header)
	if err != nil {
		return store.Entry{}, errors.Mark(err, uncertainty(err))
	}
	switch response.status {
	case http.StatusOK:
		return store.Entry{Value: value, Version: response.version}, nil
	case http.StatusPreconditionFailed:
		return store.Entry{}, store.ErrConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return store.Entry{}, errors.Wrapf(store.ErrUnavailable, "store answered %d", response.status)
	default:
		return store.Entry{}, errors.Wrapf(store.ErrUncertain, "store answered %d", response.status)
	}
}

// uncertainty says whether a failed write may have been made: not if there was
// no connection.
func uncertainty(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return store.ErrUnavailable
	}
	return store.ErrUncertain
}

// LeaseRequest is the body of a lease call.
type LeaseRequest struct {
	Holder string `json:"holder"`
	TTLMs  int64  `json:"ttlMs"`
}

// Lease takes or renews a lease.
func (client *Client) Lease(ctx context.Context, name, holder string, ttl time.Duration) (bool, error) {
	client.once.Do(client.init)
	if err := client.writes.Wait(ctx); err != nil {
		return false, errors.Mark(err, store.ErrUnavailable)
	}
	body, err := json.Marshal(LeaseRequest{Holder: holder, TTLMs: ttl.Milliseconds()})
	if err != nil {
		return false, err
	}
	response, err := client.call(ctx, http.MethodPost, "/lease/"+url.PathEscape(name), body, nil)
	if err != nil {
		return false, errors.Mark(err, uncertainty(err))
	}
	switch response.status {
	case http.StatusOK:
		return true, nil
	case http.StatusConflict:
		return false, nil
	default:
		return false, errors.Wrapf(store.ErrUnavailable, "store answered %d", response.status)
	}
}

type answer struct {
	status  int
	version uint64
	body    []byte
}

func (client *Client) call(ctx context.Context, method, path string, body []byte, header http.Header) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(client.Base, "/")+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := client.http.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	value, err := io.ReadAll(io.LimitReader(response.Body, maxValueBytes))
	if err != nil {
		return answer{}, err
	}
	version, err := parseTag(response.Header.Get("ETag"))
	if err != nil && response.StatusCode == http.StatusOK && method != http.MethodPost {
		return answer{}, err
	}
	return answer{status: response.StatusCode, version: version, body: value}, nil
}

func entityTag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func parseTag(tag string) (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "entity tag %q", tag)
	}
	return version, nil
}
