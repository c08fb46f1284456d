// Package platform reaches the services that the platform gives: a
// transactional table service, an object store and a list of VMs.
//
// Each has one narrow interface, so that another platform is one adapter.
// The adapters here speak the DynamoDB and S3 APIs through their Go SDK, with
// the SDK's own retries off: a write is repeated only where its effect can be
// told from the rows.
package platform
