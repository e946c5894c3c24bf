package controller_test

import (
	"testing"

	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestController(t *testing.T) { testkit.Run(t, "controllers") }
