package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/gravitational/trace"
	"github.com/marjoramrock/marjoramrock/internal/upstream"
)

// Settings locate the platform's services and hold the credentials for them.
type Settings struct {
	// TablesURL and ObjectsURL are base URLs; VMsURL is the URL of the VM list.
	TablesURL  string `json:"tables"`
	ObjectsURL string `json:"objects"`
	VMsURL     string `json:"vms"`
	// Table is the name of the table, Bucket that of the object store's bucket.
	Table           string `json:"table"`
	Bucket          string `json:"bucket"`
	Region          string `json:"region,omitempty"`
	AccessKeyID     string `json:"id,omitempty"`
	SecretAccessKey string `json:"secret,omitempty"`
}

// requestTimeout bounds one request to the platform.
const requestTimeout = 2 * time.Second

// maxVMListBytes bounds the size of the VM list.
const maxVMListBytes = 8 << 20

// RequestCheck is called before every request. If it returns an error, the request
// fails with that error and is not sent.
type RequestCheck func() error

// Client implements Services over HTTP.
type Client struct {
	settings Settings
	http     *http.Client
	tables   *dynamodb.Client
	objects  *s3.Client

	mu sync.Mutex // guards the fields below
	// etag is the entity tag of lastList, the newest list read.
	etag     string
	lastList VMList
}

var _ Services = (*Client)(nil)

// checkedTransport rejects what the HTTP client accepts of a server in trouble.
type checkedTransport struct {
	check RequestCheck
	next  http.RoundTripper
}

func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := t.check(); err != nil {
		return nil, fmt.Errorf("platform: request not sent: %w", err)
	}
	var body *sentBody
	if r.Body != nil && r.Body != http.NoBody && r.ContentLength > 0 {
		body = &sentBody{ReadCloser: r.Body, left: r.ContentLength}
		r = r.WithContext(r.Context())
		r.Body = body
	}
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if !upstream.IsStatus(resp.StatusCode) {
		err = fmt.Errorf("platform: %w: %q", upstream.ErrInvalidStatus, resp.Status)
	} else if resp.StatusCode < http.StatusMultipleChoices && !body.sent() {
		err = errEarlyResponse
	}
	if err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// errEarlyResponse means that a response reports success before the request was sent.
var errEarlyResponse = errors.New("platform: response before the end of the request")

// sentBody is the body of a request that knows whether it has been read.
type sentBody struct {
	io.ReadCloser

	mu sync.Mutex // guards the field below
	// left is the number of bytes that have not been read.
	left int64
}

// Read implements io.Reader.
func (b *sentBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left -= int64(n)
	return n, err
}

// sent reports whether the whole body has been read. A nil body is empty.
func (b *sentBody) sent() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left <= 0
}

// NewClient returns a client. A nil check allows every request.
func NewClient(s Settings, check RequestCheck) *Client {
	if check == nil {
		check = func() error { return nil }
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 30 * time.Second}
	hc := &http.Client{Timeout: requestTimeout, Transport: checkedTransport{check: check, next: transport}}
	region := s.Region
	if region == "" {
		region = "local"
	}
	creds := credentials.NewStaticCredentialsProvider(orDefault(s.AccessKeyID, "marjoramrock"), orDefault(s.SecretAccessKey, "unset"), "")
	return &Client{
		settings: s,
		http:     hc,
		tables: dynamodb.New(dynamodb.Options{
			BaseEndpoint: aws.String(s.TablesURL), Region: region, Credentials: creds,
			HTTPClient: hc, Retryer: aws.NopRetryer{},
		}),
		objects: s3.New(s3.Options{
			BaseEndpoint: aws.String(s.ObjectsURL), Region: region, Credentials: creds,
			HTTPClient: hc, Retryer: aws.NopRetryer{}, UsePathStyle: true,
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		}),
	}
}

func orDefault(s, fallback string) string {
	if s == "" {
		return fallback
	}
	return s
}

// ListVMs implements VMLister. The request is conditional on the entity tag of the
// last list, so that an unchanged list is not transferred again.
func (c *Client) ListVMs(ctx context.Context) (VMList, error) {
	var list VMList
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.settings.VMsURL, nil)
	if err != nil {
		return list, fmt.Errorf("platform: VM list request: %w", err)
	}
	c.mu.Lock()
	etag, last := c.etag, c.lastList
	c.mu.Unlock()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return list, fmt.Errorf("platform: VM list: %w", trace.ConnectionProblem(err, "VM list"))
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified {
		return last, nil
	}
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("platform: VM list: %w", trace.ConnectionProblem(nil, "status %d", resp.StatusCode))
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxVMListBytes)).Decode(&list); err != nil {
		return list, fmt.Errorf("platform: VM list: %w", trace.BadParameter("%v", err))
	}
	c.mu.Lock()
	c.etag, c.lastList = resp.Header.Get("ETag"), VMList{VMs: list.VMs}
	c.mu.Unlock()
	return list, nil
}
