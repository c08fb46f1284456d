// Package weights rolls out new versions of model weights to engines. One VM at
// a time, the holder of a lease, orders engines to load the version that is
// configured for a model. It updates a few engines at once, the least loaded
// first, announces each reload to the other VMs before the order, and skips
// versions that have been superseded.
package weights
