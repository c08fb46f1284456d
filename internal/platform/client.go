package platform

import (
	"context"
	"encoding/json"
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
)

// Settings say where the platform's services are.
type Settings struct {
	// TablesURL, Objects and VMs are base URLs.
	TablesURL  string `json:"tables"`
	ObjectsURL string `json:"objects"`
	VMsURL     string `json:"vms"`
	// Table and Bucket are the names used there.
	Table           string `json:"table"`
	Bucket          string `json:"bucket"`
	Region          string `json:"region,omitempty"`
	AccessKeyID     string `json:"id,omitempty"`
	SecretAccessKey string `json:"secret,omitempty"`
}

// attemptTimeout bounds one exchange with the platform.
const attemptTimeout = 2 * time.Second

// maxListBytes bounds the VM list that is read.
const maxListBytes = 8 << 20

// RequestCheck is asked before every exchange; an error keeps it from happening.
type RequestCheck func() error

// Client implements Services over the network.
type Client struct {
	settings Settings
	http     *http.Client
	tables   *dynamodb.Client
	objects  *s3.Client

	mu sync.Mutex // guards the fields below
	// tag is the entity tag of last, the newest list read.
	tag  string
	last VMList
}

var _ Services = (*Client)(nil)

type gatedTransport struct {
	gate RequestCheck
	next http.RoundTripper
}

func (t gatedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := t.gate(); err != nil {
		return nil, fmt.Errorf("platform: gate: %w", err)
	}
	return t.next.RoundTrip(r)
}

// NewClient returns a client. A nil gate lets everything through.
func NewClient(s Settings, gate RequestCheck) *Client {
	if gate == nil {
		gate = func() error { return nil }
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 30 * time.Second}
	hc := &http.Client{Timeout: attemptTimeout, Transport: gatedTransport{gate: gate, next: transport}}
	region := s.Region
	if region == "" {
		region = "local"
	}
	secret := credentials.NewStaticCredentialsProvider(orDefault(s.AccessKeyID, "marjoramrock"), orDefault(s.SecretAccessKey, "unset"), "")
	return &Client{
		settings: s,
		http:     hc,
		tables: dynamodb.New(dynamodb.Options{
			BaseEndpoint: aws.String(s.TablesURL), Region: region, Credentials: secret,
			HTTPClient: hc, Retryer: aws.NopRetryer{},
		}),
		objects: s3.New(s3.Options{
			BaseEndpoint: aws.String(s.ObjectsURL), Region: region, Credentials: secret,
			HTTPClient: hc, Retryer: aws.NopRetryer{}, UsePathStyle: true,
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		}),
	}
}

func orDefault(s, other string) string {
	if s == "" {
		return other
	}
	return s
}

// ListVMs implements VMs. A list that has not changed is not sent again.
func (c *Client) ListVMs(ctx context.Context) (VMList, error) {
	var list VMList
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.settings.VMsURL, nil)
	if err != nil {
		return list, fmt.Errorf("platform: list request: %w", err)
	}
	c.mu.Lock()
	tag, last := c.tag, c.last
	c.mu.Unlock()
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return list, fmt.Errorf("platform: list: %w", trace.ConnectionProblem(err, "VM list"))
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified {
		return last, nil
	}
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("platform: list: %w", trace.ConnectionProblem(nil, "status %d", resp.StatusCode))
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&list); err != nil {
		return list, fmt.Errorf("platform: list: %w", trace.BadParameter("%v", err))
	}
	c.mu.Lock()
	c.tag, c.last = resp.Header.Get("ETag"), list
	c.mu.Unlock()
	return list, nil
}
