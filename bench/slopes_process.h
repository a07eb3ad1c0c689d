/// \file
/// Child processes of a measurement, with their processor time and memory as
/// the kernel counts them.

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

/// A child process that runs until the parent closes its end of a pipe, which
/// the kernel also does when the parent dies: no child outlives it.
class ChildProcess {
public:
  /// Runs in the child: reports its ports through the first function, then
  /// blocks in the second until the parent closes the pipe.
  using ServeFunction =
      std::function<void(const std::function<void(Ports)> &reportPorts,
                         const std::function<void()> &waitForStop)>;

  /// \param count number of ports that the child reports.
  ChildProcess(std::size_t count, const ServeFunction &serve)
      : ReportedPorts(count) {
    int reportPipe[2];
    int stopPipe[2];
    if (pipe(reportPipe) != 0 || pipe(stopPipe) != 0)
      _exit(1);
    Pid = fork();
    if (Pid == 0) {
      close(reportPipe[0]);
      close(stopPipe[1]);
      // Otherwise the child would first fill heap memory that the parent had
      // freed, which residentBytes() would not show as growth.
      malloc_trim(0);
      // Otherwise this child would keep the pipes of earlier children open.
      for (int it : StopPipes)
        close(it);
      serve(
          [&](Ports ports) {
            ports.resize(count);
            if (write(reportPipe[1], ports.data(), byteSize(ports)) < 0)
              _exit(1);
          },
          [&] {
            char c = 0;
            while (read(stopPipe[0], &c, 1) > 0)
              ;
          });
      _exit(0);
    }
    close(reportPipe[1]);
    close(stopPipe[0]);
    StopPipe = stopPipe[1];
    StopPipes.insert(StopPipe);
    if (read(reportPipe[0], ReportedPorts.data(), byteSize(ReportedPorts)) !=
        static_cast<ssize_t>(byteSize(ReportedPorts)))
      ReportedPorts.assign(count, 0);
    close(reportPipe[0]);
  }
  ~ChildProcess() {
    StopPipes.erase(StopPipe);
    close(StopPipe);
    int status = 0;
    waitpid(Pid, &status, 0);
    if (status != 0)
      std::fprintf(stderr, "child process ended with wait status %d\n", status);
  }
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  const Ports &ports() const { return ReportedPorts; }

  /// Processor time used so far by all threads, user and system.
  double cpuMicroseconds() const {
    clockid_t clock = 0;
    timespec it{};
    clock_getcpuclockid(Pid, &clock);
    clock_gettime(clock, &it);
    return static_cast<double>(it.tv_sec) * 1e6 +
           static_cast<double>(it.tv_nsec) / 1e3;
  }

  double residentBytes() const {
    std::ifstream in("/proc/" + std::to_string(Pid) + "/statm");
    double size = 0;
    double resident = 0;
    in >> size >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
  }

private:
  static std::size_t byteSize(const Ports &it) {
    return it.size() * sizeof(Ports::value_type);
  }

  static inline std::set<int> StopPipes; ///< Of all running children.

  pid_t Pid = -1;
  int StopPipe = -1;
  Ports ReportedPorts;
};

} // namespace peridotfall::bench

#endif // PERIDOTFALL_BENCH_SLOPES_PROCESS_H
