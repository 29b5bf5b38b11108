"""Gateway that forwards callers' HTTP requests to the endpoints."""
