#include "http/loops.h"

#include <algorithm>

namespace peridotfall::http {

Loops::Loops(unsigned threads) {
  for (unsigned n = 0; n < std::max(threads, 1U); ++n) {
    Contexts.push_back(std::make_unique<Context>(1));
    WorkGuards.emplace_back(Contexts.back()->get_executor());
  }
  for (auto &it : Contexts)
    Threads.emplace_back([loop = it.get()] { loop->run(); });
}

Loops::~Loops() {
  stop();
  WorkGuards.clear();
  for (auto &it : Contexts)
    it->shutdown();
}

asio::io_context &Loops::next() {
  return *Contexts[NextIndex++ % Contexts.size()];
}

void Loops::stop() {
  for (auto &it : Contexts)
    it->stop();
  for (auto &it : Threads)
    if (it.joinable())
      it.join();
}

} // namespace peridotfall::http
