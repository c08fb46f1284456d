package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/gravitational/trace"
)

// maxObjectBytes bounds the size of an object that is read.
const maxObjectBytes = 256 << 20

// PutObject implements ObjectStore.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.objects.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(c.settings.Bucket),
		Key:    aws.String(name),
		Body:   bytes.NewReader(data),
	})
	if err != nil {
		return fmt.Errorf("platform: put object %s: %w", name, trace.ConnectionProblem(err, "object store"))
	}
	return nil
}

// GetObject implements ObjectStore.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	out, err := c.objects.GetObject(ctx, &s3.GetObjectInput{
		Bucket: aws.String(c.settings.Bucket),
		Key:    aws.String(name),
	})
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, fmt.Errorf("platform: object: %w", trace.NotFound("object %s", name))
	}
	if err != nil {
		return nil, fmt.Errorf("platform: get object %s: %w", name, trace.ConnectionProblem(err, "object store"))
	}
	defer func() { _ = out.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(out.Body, maxObjectBytes))
	if err != nil {
		return nil, fmt.Errorf("platform: read object %s: %w", name, trace.ConnectionProblem(err, "object store"))
	}
	return data, nil
}
