// Package profiles declares the two example deployments: a cloud atlas that
// classifies and captions photographs, and a dispatch service that rates jobs
// using long site histories.
package profiles
