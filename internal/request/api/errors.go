package api

import (
	"net/http"
	"strings"

	"heatherport/internal/result"
)

// retryAfterSeconds is the value of the Retry-After header.
const retryAfterSeconds = "1"

// httpStatus returns the HTTP status for a code.
func httpStatus(c result.Code) int {
	switch c {
	case result.SheetTooLarge:
		return http.StatusRequestEntityTooLarge
	case result.NotFound, result.MemberUnknown:
		return http.StatusNotFound
	case result.ShuttingDown:
		return http.StatusServiceUnavailable
	case result.Overloaded:
		return http.StatusTooManyRequests
	case result.StorageFull:
		return http.StatusInsufficientStorage
	}
	return classStatus(c.Class())
}

func classStatus(c result.Class) int {
	switch c {
	case result.ClassOK:
		return http.StatusOK
	case result.ClassUsage:
		return http.StatusBadRequest
	case result.ClassRefused:
		return http.StatusConflict
	case result.ClassUnavailable:
		return http.StatusServiceUnavailable
	case result.ClassUnknown:
		return http.StatusGatewayTimeout
	case result.ClassSecurity:
		return http.StatusForbidden
	}
	return http.StatusInternalServerError
}

// NewErrorResponse returns the response body for err.
func NewErrorResponse(err error) ErrorResponse {
	c := result.CodeOf(err)
	return ErrorResponse{
		Code:   c,
		Name:   c.Name(),
		Detail: strings.TrimPrefix(err.Error(), c.String()+": "),
	}
}

// err returns the error that e describes.
func (e ErrorResponse) err() error {
	return result.Errorf(e.Code, "%s", e.Detail)
}
