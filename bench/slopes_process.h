/// \file
/// Child processes of a measurement, and what the kernel counts for them.

#ifndef PERIDOTFALL_BENCH_SLOPES_PROCESS_H
#define PERIDOTFALL_BENCH_SLOPES_PROCESS_H

#include <cstdint>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <functional>
#include <malloc.h>
#include <set>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace peridotfall::bench {

using Ports = std::vector<std::uint16_t>;

/// A child that serves until the parent closes its pipe, so that none is left
/// behind when the parent dies.
class Child {
public:
  /// What the child tells the parent, and what it does until then.
  using Serve = std::function<void(const std::function<void(Ports)> &ready,
                                   const std::function<void()> &untilClosed)>;

  /// \param count ports that the child reports.
  Child(std::size_t count, const Serve &serve) : Reported(count) {
    int up[2];
    int down[2];
    if (pipe(up) != 0 || pipe(down) != 0)
      _exit(1);
    Id = fork();
    if (Id == 0) {
      close(up[0]);
      close(down[1]);
      // Free memory of the parent would be filled first and not be counted.
      malloc_trim(0);
      // A younger child would otherwise hold the pipes of its elders open.
      for (int it : Holds)
        close(it);
      serve(
          [&](Ports ports) {
            ports.resize(count);
            if (write(up[1], ports.data(), bytes(ports)) < 0)
              _exit(1);
          },
          [&] {
            char c = 0;
            while (read(down[0], &c, 1) > 0)
              ;
          });
      _exit(0);
    }
    close(up[1]);
    close(down[0]);
    Hold = down[1];
    Holds.insert(Hold);
    if (read(up[0], Reported.data(), bytes(Reported)) !=
        static_cast<ssize_t>(bytes(Reported)))
      Reported.assign(count, 0);
    close(up[0]);
  }
  ~Child() {
    Holds.erase(Hold);
    close(Hold);
    int status = 0;
    waitpid(Id, &status, 0);
    if (status != 0)
      std::fprintf(stderr, "a process of the measurement ended with %d\n",
                   status);
  }
  Child(const Child &) = delete;
  Child &operator=(const Child &) = delete;

  const Ports &ports() const { return Reported; }

  /// Processor time so far, all threads, user and system. Microseconds.
  double processorTime() const {
    clockid_t clock = 0;
    timespec it{};
    clock_getcpuclockid(Id, &clock);
    clock_gettime(clock, &it);
    return static_cast<double>(it.tv_sec) * 1e6 +
           static_cast<double>(it.tv_nsec) / 1e3;
  }

  /// Resident bytes now.
  double residentBytes() const {
    std::ifstream in("/proc/" + std::to_string(Id) + "/statm");
    double size = 0;
    double resident = 0;
    in >> size >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
  }

private:
  static std::size_t bytes(const Ports &it) {
    return it.size() * sizeof(Ports::value_type);
  }

  static inline std::set<int> Holds; ///< Of all children alive.

  pid_t Id = -1;
  int Hold = -1;
  Ports Reported;
};

} // namespace peridotfall::bench

#endif // PERIDOTFALL_BENCH_SLOPES_PROCESS_H
