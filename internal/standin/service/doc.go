// Package service is a stand-in for a plain service with idempotent lookups and with orders and bookings that are not.
package service
