/* Fault injection by LD_PRELOAD: system calls that fail temporarily, and a wall clock that is stepped.
 *
 * Environment variables:
 *
 *   FAULTS_CALLS  "accept:50,connect:50,...": on average one call in 50 of that kind fails
 *                 accept   ECONNABORTED, EPROTO, EMFILE, ENFILE, ENOBUFS, ENOMEM; the connection stays queued
 *                 connect  EADDRNOTAVAIL, ENOBUFS, ENETUNREACH, before anything is sent
 *                 socket   EMFILE, ENFILE, ENOBUFS, ENOMEM, of TCP sockets
 *                 read     a short count
 *                 write    a short count
 *                 broken   ETIMEDOUT or EHOSTUNREACH from a read of an outgoing connection;
 *                          the connection is shut down
 *                 wait     EINTR from epoll_wait
 *   FAULTS_SEED   a number that seeds the random generator together with the process id
 *   FAULTS_STEPS  "3600,-5,0": offsets of the wall clock in seconds, one after the other
 *   FAULTS_EVERY  seconds of the monotonic clock for which each offset applies (default 2)
 *
 * The monotonic clock is not changed. The offset depends on it alone, so that all processes of a machine see
 * the same wall clock.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum kind { ACCEPT, CONNECT, SOCKET, READ, WRITE, BROKEN, WAIT, KIND_COUNT };
static const char *const kind_names[KIND_COUNT] = {
    "accept", "connect", "socket", "read", "write", "broken", "wait",
};
static long mean_calls_per_fault[KIND_COUNT]; /* 0: calls of this kind do not fail */
static uint64_t random_state;

#define MAX_STEPS 64
static double clock_offsets[MAX_STEPS]; /* seconds */
static int clock_offset_count;
static double clock_offset_seconds = 2.0;

#define MAX_DESCRIPTORS 65536
static unsigned char is_outgoing[MAX_DESCRIPTORS]; /* by descriptor: connect() was called with AF_INET */

/* The next definition of a function that this library overrides: the real system call. */
#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

__attribute__((constructor)) static void configure(void) {
    const char *seed = getenv("FAULTS_SEED"), *every = getenv("FAULTS_EVERY");
    random_state = ((uint64_t)(seed ? strtoull(seed, NULL, 10) : 1) << 32) ^
                   ((uint64_t)getpid() * 2654435761u) ^ 88172645463325252ull;
    if (every) clock_offset_seconds = strtod(every, NULL);
    char *text = getenv("FAULTS_CALLS"), *rest = NULL;
    text = text ? strdup(text) : NULL;
    for (char *word = text ? strtok_r(text, ",", &rest) : NULL; word; word = strtok_r(NULL, ",", &rest)) {
        char *colon = strchr(word, ':');
        for (int kind = 0; colon && kind < KIND_COUNT; kind++)
            if (!strncmp(word, kind_names[kind], (size_t)(colon - word)) &&
                kind_names[kind][colon - word] == 0)
                mean_calls_per_fault[kind] = strtol(colon + 1, NULL, 10);
    }
    free(text);
    text = getenv("FAULTS_STEPS");
    text = text ? strdup(text) : NULL;
    for (char *word = text ? strtok_r(text, ",", &rest) : NULL; word && clock_offset_count < MAX_STEPS;
         word = strtok_r(NULL, ",", &rest))
        clock_offsets[clock_offset_count++] = strtod(word, NULL);
    free(text);
}

/* Xorshift generator. */
static uint64_t next_random(void) {
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return random_state;
}

static int should_fail(enum kind kind) {
    return mean_calls_per_fault[kind] > 0 && next_random() % (uint64_t)mean_calls_per_fault[kind] == 0;
}

/* Sets errno to a random one of the errors and returns -1. */
static int fail_with_one_of(const int *errors, size_t count) {
    errno = errors[next_random() % count];
    return -1;
}
#define FAIL(...) \
    fail_with_one_of((const int[]){__VA_ARGS__}, sizeof((const int[]){__VA_ARGS__}) / sizeof(int))

/* Returns the present offset of the wall clock in seconds. */
static double clock_offset(void) {
    struct timespec now;
    if (!clock_offset_count) return 0;
    REAL(clock_gettime)(CLOCK_MONOTONIC, &now);
    return clock_offsets[(long)((double)now.tv_sec / clock_offset_seconds) % clock_offset_count];
}

int clock_gettime(clockid_t id, struct timespec *now) {
    int result = REAL(clock_gettime)(id, now);
    if (!result && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE))
        now->tv_sec += (time_t)clock_offset();
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    int result = REAL(gettimeofday)(now, zone);
    if (!result) now->tv_sec += (time_t)clock_offset();
    return result;
}

time_t time(time_t *destination) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (destination) *destination = now.tv_sec;
    return now.tv_sec;
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    if (should_fail(ACCEPT)) return FAIL(ECONNABORTED, EPROTO, EMFILE, ENFILE, ENOBUFS, ENOMEM);
    int accepted = REAL(accept4)(fd, address, size, flags);
    if (accepted >= 0 && accepted < MAX_DESCRIPTORS) is_outgoing[accepted] = 0;
    return accepted;
}

int accept(int fd, struct sockaddr *address, socklen_t *size) { return accept4(fd, address, size, 0); }

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    if (address->sa_family == AF_INET && should_fail(CONNECT))
        return FAIL(EADDRNOTAVAIL, ENOBUFS, ENETUNREACH);
    if (fd >= 0 && fd < MAX_DESCRIPTORS) is_outgoing[fd] = address->sa_family == AF_INET;
    return REAL(connect)(fd, address, size);
}

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET && should_fail(SOCKET)) return FAIL(EMFILE, ENFILE, ENOBUFS, ENOMEM);
    return REAL(socket)(domain, type, protocol);
}

ssize_t recv(int fd, void *destination, size_t size, int flags) {
    if (fd >= 0 && fd < MAX_DESCRIPTORS && is_outgoing[fd] && should_fail(BROKEN)) {
        shutdown(fd, SHUT_RDWR);
        return FAIL(ETIMEDOUT, EHOSTUNREACH);
    }
    if (size > 1 && should_fail(READ)) size = 1 + next_random() % (size < 256 ? size : 256);
    return REAL(recv)(fd, destination, size, flags);
}

ssize_t send(int fd, const void *source, size_t size, int flags) {
    if (size > 1 && should_fail(WRITE)) size = 1 + next_random() % (size - 1);
    return REAL(send)(fd, source, size, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int milliseconds) {
    if (should_fail(WAIT)) {
        errno = EINTR;
        return -1;
    }
    return REAL(epoll_wait)(fd, events, max_events, milliseconds);
}
