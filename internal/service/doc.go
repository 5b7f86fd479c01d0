// Package service is the client of plain services, which answer idempotent lookups and orders that run at most once.
package service
