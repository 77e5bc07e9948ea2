package main

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"unsafe"
)

// cores are those that this process may use.
var cores struct {
	mu   sync.Mutex
	all  [16]uint64
	list []int
	next int
}

// startOnOneCore starts a process that may use one core, as on the machines of the
// deployment. The child inherits the mask of the thread that starts it.
func startOnOneCore(cmd *exec.Cmd) error {
	cores.mu.Lock()
	defer cores.mu.Unlock()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if cores.list == nil {
		if !affinity(syscall.SYS_SCHED_GETAFFINITY, &cores.all) {
			return cmd.Start()
		}
		for i := range 64 * len(cores.all) {
			if cores.all[i/64]>>(i%64)&1 == 1 {
				cores.list = append(cores.list, i)
			}
		}
	}
	var one [16]uint64
	i := cores.list[cores.next%len(cores.list)]
	cores.next++
	one[i/64] = 1 << (i % 64)
	affinity(syscall.SYS_SCHED_SETAFFINITY, &one)
	defer affinity(syscall.SYS_SCHED_SETAFFINITY, &cores.all)
	return cmd.Start()
}

// limitFiles sets the number of descriptors that a process may open.
func limitFiles(pid, n int) {
	limit := syscall.Rlimit{Cur: uint64(n), Max: uint64(n)}
	_, _, _ = syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
}

// affinity reads or sets the mask of this thread.
func affinity(call uintptr, mask *[16]uint64) bool {
	_, _, errno := syscall.RawSyscall(call, 0, unsafe.Sizeof(*mask), uintptr(unsafe.Pointer(mask)))
	return errno == 0
}
