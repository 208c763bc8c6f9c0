#include "edge/log.h"

#include <glog/logging.h>

#include <algorithm>

namespace limpethaven {
namespace {

std::string Format(EventId event, std::initializer_list<LogField> fields) {
  std::ostringstream line;
  line << '[' << static_cast<int>(event) << ' ' << NameOf(event) << ']';
  std::ranges::for_each(fields, [&line](const LogField& field) {
    line << ' ' << field.name << '=';
    const bool quote =
        field.value.empty() || field.value.find(' ') != std::string::npos;
    if (quote) {
      line << '"' << field.value << '"';
    } else {
      line << field.value;
    }
  });
  return line.str();
}

}  // namespace

void LogEvent(EventId event, std::initializer_list<LogField> fields) {
  LOG(INFO) << Format(event, fields);
}

void LogWarning(EventId event, std::initializer_list<LogField> fields) {
  LOG(WARNING) << Format(event, fields);
}

void StartLogging(std::string_view program) {
  FLAGS_logtostderr = true;
  static const std::string kProgram(program);
  google::InitGoogleLogging(kProgram.c_str());
}

}  // namespace limpethaven
