// Package targetconn exchanges HTTP/1.1 requests and answers with targets, and knows for each whether a byte was sent.
package targetconn
