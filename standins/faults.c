/* A library for LD_PRELOAD: system calls that fail for a moment, and a wall clock that is stepped.
 *
 *   FAULTS_CALLS  "accept:50,connect:50,...": of so many calls of a kind one fails on average
 *                 accept   ECONNABORTED, EPROTO, EMFILE, ENFILE, ENOBUFS, ENOMEM; the connection stays queued
 *                 connect  EADDRNOTAVAIL, ENOBUFS, ENETUNREACH, before anything has left
 *                 socket   EMFILE, ENFILE, ENOBUFS, ENOMEM, of TCP sockets
 *                 read     a short count
 *                 write    a short count
 *                 broken   ETIMEDOUT or EHOSTUNREACH from a read of a connection that the process made itself,
 *                          which is shut
 *                 wait     EINTR from epoll_wait
 *   FAULTS_SEED   a number; with the process's id it seeds the draws
 *   FAULTS_STEPS  "3600,-5,0": seconds by which the wall clock is off, one after the other
 *   FAULTS_EVERY  seconds of the monotonic clock for which each of them holds (2)
 *
 * The monotonic clock runs on. All processes of a machine see the same wall clock.
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

enum kind { ACCEPT, CONNECT, SOCKET, READ, WRITE, BROKEN, WAIT, KINDS };
static const char *const names[KINDS] = {"accept", "connect", "socket", "read", "write", "broken", "wait"};
static long one_in[KINDS];
static uint64_t state;

#define MOST_STEPS 64
static double steps[MOST_STEPS];
static int step_count;
static double step_every = 2.0;

#define MOST_DESCRIPTORS 65536
static unsigned char made_here[MOST_DESCRIPTORS]; /* by descriptor: connect() was called on it */

#define NEXT(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

__attribute__((constructor)) static void configure(void) {
    const char *seed = getenv("FAULTS_SEED"), *every = getenv("FAULTS_EVERY");
    state = ((uint64_t)(seed ? strtoull(seed, NULL, 10) : 1) << 32) ^ ((uint64_t)getpid() * 2654435761u) ^ 88172645463325252ull;
    if (every) step_every = strtod(every, NULL);
    char *text = getenv("FAULTS_CALLS"), *rest = NULL;
    text = text ? strdup(text) : NULL;
    for (char *word = text ? strtok_r(text, ",", &rest) : NULL; word; word = strtok_r(NULL, ",", &rest)) {
        char *colon = strchr(word, ':');
        for (int kind = 0; colon && kind < KINDS; kind++)
            if (!strncmp(word, names[kind], (size_t)(colon - word)) && names[kind][colon - word] == 0)
                one_in[kind] = strtol(colon + 1, NULL, 10);
    }
    free(text);
    text = getenv("FAULTS_STEPS");
    text = text ? strdup(text) : NULL;
    for (char *word = text ? strtok_r(text, ",", &rest) : NULL; word && step_count < MOST_STEPS; word = strtok_r(NULL, ",", &rest))
        steps[step_count++] = strtod(word, NULL);
    free(text);
}

static uint64_t draw(void) {
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state;
}

static int fails(enum kind kind) { return one_in[kind] > 0 && draw() % (uint64_t)one_in[kind] == 0; }

static int fail_with(const int *errors, size_t count) {
    errno = errors[draw() % count];
    return -1;
}
#define FAIL(...) fail_with((const int[]){__VA_ARGS__}, sizeof((const int[]){__VA_ARGS__}) / sizeof(int))

static double off_by(void) {
    struct timespec now;
    if (!step_count) return 0;
    NEXT(clock_gettime)(CLOCK_MONOTONIC, &now);
    return steps[(long)((double)now.tv_sec / step_every) % step_count];
}

int clock_gettime(clockid_t id, struct timespec *now) {
    int result = NEXT(clock_gettime)(id, now);
    if (!result && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) now->tv_sec += (time_t)off_by();
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    int result = NEXT(gettimeofday)(now, zone);
    if (!result) now->tv_sec += (time_t)off_by();
    return result;
}

time_t time(time_t *into) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (into) *into = now.tv_sec;
    return now.tv_sec;
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    if (fails(ACCEPT)) return FAIL(ECONNABORTED, EPROTO, EMFILE, ENFILE, ENOBUFS, ENOMEM);
    int taken = NEXT(accept4)(fd, address, size, flags);
    if (taken >= 0 && taken < MOST_DESCRIPTORS) made_here[taken] = 0;
    return taken;
}

int accept(int fd, struct sockaddr *address, socklen_t *size) { return accept4(fd, address, size, 0); }

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    if (address->sa_family == AF_INET && fails(CONNECT)) return FAIL(EADDRNOTAVAIL, ENOBUFS, ENETUNREACH);
    if (fd >= 0 && fd < MOST_DESCRIPTORS) made_here[fd] = address->sa_family == AF_INET;
    return NEXT(connect)(fd, address, size);
}

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET && fails(SOCKET)) return FAIL(EMFILE, ENFILE, ENOBUFS, ENOMEM);
    return NEXT(socket)(domain, type, protocol);
}

ssize_t recv(int fd, void *into, size_t size, int flags) {
    if (fd >= 0 && fd < MOST_DESCRIPTORS && made_here[fd] && fails(BROKEN)) {
        shutdown(fd, SHUT_RDWR);
        return FAIL(ETIMEDOUT, EHOSTUNREACH);
    }
    if (size > 1 && fails(READ)) size = 1 + draw() % (size < 256 ? size : 256);
    return NEXT(recv)(fd, into, size, flags);
}

ssize_t send(int fd, const void *from, size_t size, int flags) {
    if (size > 1 && fails(WRITE)) size = 1 + draw() % (size - 1);
    return NEXT(send)(fd, from, size, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int milliseconds) {
    if (fails(WAIT)) {
        errno = EINTR;
        return -1;
    }
    return NEXT(epoll_wait)(fd, events, most, milliseconds);
}
