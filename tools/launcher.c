/*
 * Launcher of the single-file binary: unpacks the payload appended to it into
 * a private directory below the temporary directory, once for each build, and
 * replaces itself with the program there by execv().
 *
 * execv() keeps the process: there is no parent process that waits and no
 * child to pass signals on to, and a supervisor sees only the pid that it
 * started.
 *
 * Layout of the file, numbers little-endian:
 *   this program
 *   entries: u32 path length, u32 mode, u64 size, path, content
 *   trailer: u64 offset of the entries, 32 hex digits of their digest,
 *            8 bytes of magic
 */
#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <limits.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/types.h>
#include <unistd.h>

#define MAGIC "MGDYKE01"
#define DIGEST_LENGTH 32
#define COPY_BYTES (1 << 16)
#define OPEN_DIRECTORIES 16
#define PROGRAM "magnoliadyke"
#define BINARY_VARIABLE "MAGNOLIADYKE_BINARY"
#define UNPACK_VARIABLE "MAGNOLIADYKE_UNPACK_DIR"

struct trailer {
    uint64_t offset;
    char digest[DIGEST_LENGTH];
    char magic[sizeof(MAGIC) - 1];
} __attribute__((packed));

struct entry {
    uint32_t path_length;
    uint32_t mode;
    uint64_t size;
} __attribute__((packed));

static void fail(const char *what, const char *path)
{
    fprintf(stderr, PROGRAM ": cannot %s %s: %s; set " UNPACK_VARIABLE
            " to a directory with 100 MB free where programs can be run\n",
            what, path, strerror(errno));
    exit(1);
}

static void join(char *out, const char *directory, const char *name)
{
    if (snprintf(out, PATH_MAX, "%s/%s", directory, name) >= PATH_MAX) {
        errno = ENAMETOOLONG;
        fail("name", name);
    }
}

static void read_all(int fd, void *out, size_t size, const char *path)
{
    char *at = out;

    while (size > 0) {
        ssize_t got = read(fd, at, size);

        if (got < 0 && errno == EINTR)
            continue;
        if (got <= 0) {
            if (got == 0)
                errno = EIO;
            fail("read", path);
        }
        at += got;
        size -= got;
    }
}

static void write_all(int fd, const char *data, size_t size, const char *path)
{
    while (size > 0) {
        ssize_t put = write(fd, data, size);

        if (put < 0 && errno == EINTR)
            continue;
        if (put < 0)
            fail("write", path);
        data += put;
        size -= put;
    }
}

static void make_parents(char *path)
{
    for (char *slash = strchr(path + 1, '/'); slash;
         slash = strchr(slash + 1, '/')) {
        *slash = '\0';
        if (mkdir(path, 0700) < 0 && errno != EEXIST)
            fail("make", path);
        *slash = '/';
    }
}

static void unpack_file(int from, const struct entry *entry, const char *path)
{
    static char buffer[COPY_BYTES];
    uint64_t left = entry->size;
    int to = open(path, O_WRONLY | O_CREAT | O_EXCL, entry->mode & 0700);

    if (to < 0)
        fail("create", path);
    while (left > 0) {
        size_t part = left < COPY_BYTES ? left : COPY_BYTES;

        read_all(from, buffer, part, path);
        write_all(to, buffer, part, path);
        left -= part;
    }
    if (close(to) < 0)
        fail("close", path);
}

static void unpack_link(int from, const struct entry *entry, const char *path)
{
    char target[PATH_MAX] = "";

    if (entry->size >= PATH_MAX) {
        errno = ENAMETOOLONG;
        fail("link", path);
    }
    read_all(from, target, entry->size, path);
    if (symlink(target, path) < 0)
        fail("link", path);
}

static void unpack(int from, uint64_t end, const char *directory)
{
    char name[PATH_MAX], path[PATH_MAX];

    while ((uint64_t)lseek(from, 0, SEEK_CUR) < end) {
        struct entry entry;

        read_all(from, &entry, sizeof(entry), directory);
        if (entry.path_length >= PATH_MAX) {
            errno = ENAMETOOLONG;
            fail("unpack", directory);
        }
        read_all(from, name, entry.path_length, directory);
        name[entry.path_length] = '\0';
        join(path, directory, name);
        make_parents(path);
        if (S_ISLNK(entry.mode))
            unpack_link(from, &entry, path);
        else
            unpack_file(from, &entry, path);
    }
}

static int remove_one(const char *path, const struct stat *found, int kind,
                      struct FTW *at)
{
    (void)found;
    (void)kind;
    (void)at;
    return remove(path);
}

/*
 * The name of the directory is predictable: another user of the host could
 * create it first and have us run their program.  So it is used only if it is
 * a directory, not a link, that we own and no other user can access.
 */
static int is_ours(const char *directory)
{
    struct stat found;

    return lstat(directory, &found) == 0 && S_ISDIR(found.st_mode)
        && found.st_uid == geteuid() && (found.st_mode & 077) == 0;
}

int main(int argc, char **argv)
{
    char self[PATH_MAX] = "", directory[PATH_MAX], fresh[PATH_MAX];
    char program[PATH_MAX], name[128];
    const char *base = getenv(UNPACK_VARIABLE);
    struct trailer trailer;
    off_t end;
    int from;

    (void)argc;
    if (!base || !*base)
        base = getenv("TMPDIR");
    if (!base || !*base)
        base = "/tmp";
    if (readlink("/proc/self/exe", self, sizeof(self) - 1) < 0)
        fail("find", "/proc/self/exe");
    from = open(self, O_RDONLY | O_CLOEXEC);
    if (from < 0)
        fail("open", self);
    end = lseek(from, -(off_t)sizeof(trailer), SEEK_END);
    if (end < 0)
        fail("read", self);
    read_all(from, &trailer, sizeof(trailer), self);
    if (memcmp(trailer.magic, MAGIC, sizeof(trailer.magic)) != 0) {
        errno = ENOEXEC;
        fail("find the program in", self);
    }
    snprintf(name, sizeof(name), PROGRAM "-%u-%.*s", geteuid(),
             DIGEST_LENGTH, trailer.digest);
    join(directory, base, name);
    if (!is_ours(directory)) {
        /* Unpack to a new directory, then rename it: a process that starts
         * at the same time sees the complete directory or none. */
        join(fresh, base, PROGRAM "-new-XXXXXX");
        if (!mkdtemp(fresh))
            fail("make a directory in", base);
        if (lseek(from, (off_t)trailer.offset, SEEK_SET) < 0)
            fail("read", self);
        unpack(from, (uint64_t)end, fresh);
        if (rename(fresh, directory) < 0) {
            if (is_ours(directory))
                /* Another process unpacked the same build meanwhile. */
                nftw(fresh, remove_one, OPEN_DIRECTORIES,
                     FTW_DEPTH | FTW_PHYS);
            else
                /* Another user owns that name: run from the new directory. */
                join(directory, fresh, "");
        }
    }
    close(from);
    setenv(BINARY_VARIABLE, self, 1);
    join(program, directory, PROGRAM);
    execv(program, argv);
    fail("start", program);
}
