package soak

import (
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

func TestResidentMB(t *testing.T) {
	mb, err := residentMB("Name:\tx\nVmHWM:\t  900000 kB\nVmRSS:\t  204800 kB\nThreads:\t4\n")
	require.NoError(t, err)
	require.Equal(t, 200, mb)
	_, err = residentMB("Name:\tx\n")
	require.ErrorIs(t, err, errors.NotFound)
	_, err = residentMB("VmRSS:\tmany kB\n")
	require.Error(t, err)
}
