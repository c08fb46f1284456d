// Package platform is a client for the services of the cloud platform: a
// transactional table service, an object store and a list of VMs.
//
// Each service has one narrow interface, so that support for another platform takes
// one adapter. The adapters here use the DynamoDB and S3 APIs through the Go SDK.
// The SDK's retries are disabled: a write is retried only where the rows show
// whether an earlier attempt took effect.
package platform
