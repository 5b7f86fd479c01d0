// Package service is a stand-in for a plain service with stock lookups, which are idempotent, and orders and bookings, which are
// not.
package service
