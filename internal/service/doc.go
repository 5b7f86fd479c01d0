// Package service is the HTTP client for plain services, which answer idempotent lookups and orders that run at most once.
package service
