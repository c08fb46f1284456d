// Package weights rolls out new versions of model weights to engines. One VM at
// a time, the holder of a lease, orders engines to load the target version of
// each model. It updates a few engines at once, those with the oldest weights
// and the least load first, announces each reload to the other VMs before the
// order, and skips target versions that have been superseded.
package weights
