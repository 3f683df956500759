// Package httpkv is the store adapter for a key-value service over HTTP. A key is a
// resource and its version the entity tag (RFC 9110). A watch is a conditional GET that
// waits for a change (Prefer: wait, RFC 7240). A lease is acquired or renewed by a POST
// of JSON.
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
	// maxValueBytes bounds the body of an answer. It is above the store's limit of
	// one megabyte for a value.
	maxValueBytes = 2 << 20
	// watchWait is how long a watch requests the store to wait for a change.
	watchWait = 10 * time.Second
	// watchGrace is the time after watchWait in which the answer must arrive.
	watchGrace = 2 * time.Second
)

// Default rate limits of one client, in calls per second. They keep a VM that calls in a
// loop from using up the store's rate limit for all VMs.
const (
	DefaultReadRate  = rate.Limit(20)
	DefaultWriteRate = rate.Limit(10)
	rateBurst        = 20
)

// Client implements store.Store. Set the exported fields before the first call.
type Client struct {
	// Base is the base URL of the store, such as http://10.0.0.1:8500.
	Base string
	// ReadRate and WriteRate limit the calls per second; zero is the default rate.
	ReadRate  rate.Limit
	WriteRate rate.Limit
	// Dial opens connections in place of the default dialer; tests set it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	once         sync.Once
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	http         *http.Client
}

func (client *Client) init() {
	if client.ReadRate == 0 {
		client.ReadRate = DefaultReadRate
	}
	if client.WriteRate == 0 {
		client.WriteRate = DefaultWriteRate
	}
	client.readLimiter = rate.NewLimiter(client.ReadRate, rateBurst)
	client.writeLimiter = rate.NewLimiter(client.WriteRate, rateBurst)
	transport := &http.Transport{DialContext: client.Dial, MaxIdleConnsPerHost: 4}
	client.http = &http.Client{Transport: transport}
}

// Get returns the entry of a key; a missing key has version 0. If the read fails, the
// error is marked as store.ErrUnavailable.
func (client *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	return client.read(ctx, key, nil)
}

// Watch waits until the key's version differs from version, at most for watchWait, and
// returns the entry. The entry has no value if the version is unchanged.
func (client *Client) Watch(ctx context.Context, key string, version uint64) (store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchGrace)
	defer cancel()
	return client.read(ctx, key, http.Header{
		"If-None-Match": {entityTag(version)},
		"Prefer":        {fmt.Sprintf("wait=%d", int(watchWait.Seconds()))},
	})
}

func (client *Client) read(ctx context.Context, key string, header http.Header) (store.Entry, error) {
	client.once.Do(client.init)
	if err := client.readLimiter.Wait(ctx); err != nil {
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
		return store.Entry{}, errors.Wrapf(store.ErrUnavailable, "store answered with status %d", response.status)
	}
}

// Put writes a key if its version is still version; version 0 is a missing key. The
// error is store.ErrConflict if the version differs, store.ErrUnavailable if the key was
// not written, and store.ErrUncertain if it may have been.
func (client *Client) Put(ctx context.Context, key string, value []byte, version uint64) (store.Entry, error) {
	client.once.Do(client.init)
	if err := client.writeLimiter.Wait(ctx); err != nil {
		return store.Entry{}, errors.Mark(err, store.ErrUnavailable)
	}
	header := http.Header{"If-Match": {entityTag(version)}}
	if version == 0 {
		header = http.Header{"If-None-Match": {"*"}}
	}
	response, err := client.call(ctx, http.MethodPut, "/kv/"+url.PathEscape(key), value, header)
	if err != nil {
		return store.Entry{}, errors.Mark(err, writeErrorKind(err))
	}
	switch response.status {
	case http.StatusOK:
		return store.Entry{Value: value, Version: response.version}, nil
	case http.StatusPreconditionFailed:
		return store.Entry{}, store.ErrConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return store.Entry{}, errors.Wrapf(store.ErrUnavailable, "store answered with status %d", response.status)
	default:
		return store.Entry{}, errors.Wrapf(store.ErrUncertain, "store answered with status %d", response.status)
	}
}

// writeErrorKind returns the kind of a failed write: store.ErrUnavailable if no
// connection was made, otherwise store.ErrUncertain, as the write may have taken effect.
func writeErrorKind(err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return store.ErrUnavailable
	}
	return store.ErrUncertain
}

// LeaseRequest is the JSON body of a lease call.
type LeaseRequest struct {
	Holder string `json:"holder"`
	TTLMs  int64  `json:"ttlMs"`
}

// Lease acquires or renews a lease for ttl and reports whether holder now has it.
func (client *Client) Lease(ctx context.Context, name, holder string, ttl time.Duration) (bool, error) {
	client.once.Do(client.init)
	if err := client.writeLimiter.Wait(ctx); err != nil {
		return false, errors.Mark(err, store.ErrUnavailable)
	}
	body, err := json.Marshal(LeaseRequest{Holder: holder, TTLMs: ttl.Milliseconds()})
	if err != nil {
		return false, err
	}
	response, err := client.call(ctx, http.MethodPost, "/lease/"+url.PathEscape(name), body, nil)
	if err != nil {
		return false, errors.Mark(err, writeErrorKind(err))
	}
	switch response.status {
	case http.StatusOK:
		return true, nil
	case http.StatusConflict:
		return false, nil
	default:
		return false, errors.Wrapf(store.ErrUnavailable, "store answered with status %d", response.status)
	}
}

// answer is the part of an HTTP response that the client uses.
type answer struct {
	status  int
	version uint64
	body    []byte
}

// call sends one request. The entity tag must be valid in a successful GET or PUT.
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
	version, err := parseEntityTag(response.Header.Get("ETag"))
	if err != nil && response.StatusCode == http.StatusOK && method != http.MethodPost {
		return answer{}, err
	}
	return answer{status: response.StatusCode, version: version, body: value}, nil
}

func entityTag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func parseEntityTag(tag string) (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "parse entity tag %q", tag)
	}
	return version, nil
}
