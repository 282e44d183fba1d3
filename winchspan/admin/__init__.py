"""The operators' HTTP server: handles one HTTP/1.1 request per connection, on a separate address."""
