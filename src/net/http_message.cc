#include "net/http_message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace limpethaven {
namespace {

constexpr std::string_view kHexDigits = "0123456789ABCDEF";

/// Lower-case names of the headers that apply to one connection only and are
/// not forwarded.
constexpr std::array<std::string_view, 10> kHopByHopHeaders = {
    "connection", "keep-alive",        "proxy-authenticate",
    "te",         "transfer-encoding", "proxy-authorization",
    "trailer",    "upgrade",           "proxy-connection",
    "expect"};

char ToLower(char character) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
}

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// Calls `visit` with each comma-separated token.
template <typename Visit>
void ForEachToken(std::string_view list, Visit visit) {
  while (!list.empty()) {
    const auto comma = list.find(',');
    visit(Trim(list.substr(0, comma)));
    if (comma == std::string_view::npos) return;
    list.remove_prefix(comma + 1);
  }
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

void AppendHeaders(const Headers& headers, std::string& out) {
  std::ranges::for_each(headers.All(), [&out](const HttpHeader& header) {
    out.append(header.name).append(": ").append(header.value).append("\r\n");
  });
}

std::string StatusLineAndHeaders(const ResponseHead& head) {
  std::string out = "HTTP/1.1 ";
  out.append(std::to_string(head.status)).append(" ");
  out.append(ReasonPhrase(head.status)).append("\r\n");
  AppendHeaders(head.headers, out);
  if (!head.keep_alive) out.append("Connection: close\r\n");
  return out;
}

int HexValue(char digit) {
  const auto found = kHexDigits.find(static_cast<char>(std::toupper(digit)));
  return found == std::string_view::npos ? -1 : static_cast<int>(found);
}

std::string PercentDecode(std::string_view text) {
  constexpr std::size_t kEscapeBytes = 3;
  std::string out;
  while (!text.empty()) {
    const bool escape = text.front() == '%' && text.size() >= kEscapeBytes &&
                        HexValue(text[1]) >= 0 && HexValue(text[2]) >= 0;
    if (escape) {
      out += static_cast<char>(HexValue(text[1]) * 16 + HexValue(text[2]));
      text.remove_prefix(kEscapeBytes);
    } else {
      out += text.front() == '+' ? ' ' : text.front();
      text.remove_prefix(1);
    }
  }
  return out;
}

}  // namespace

bool EqualsNoCase(std::string_view left, std::string_view right) noexcept {
  return left.size() == right.size() &&
         std::ranges::equal(left, right, {}, ToLower, ToLower);
}

std::string_view Headers::Get(std::string_view name) const noexcept {
  const auto found =
      std::ranges::find_if(this->fields, [name](const HttpHeader& header) {
        return EqualsNoCase(header.name, name);
      });
  return found == this->fields.end() ? std::string_view() : found->value;
}

bool Headers::Has(std::string_view name) const noexcept {
  return std::ranges::any_of(this->fields, [name](const HttpHeader& header) {
    return EqualsNoCase(header.name, name);
  });
}

std::optional<std::int64_t> Headers::GetInt(
    std::string_view name) const noexcept {
  const std::string_view text = this->Get(name);
  std::int64_t value = 0;
  const auto [end, parse_error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parse_error != std::errc() || end != text.data() + text.size() ||
      text.empty()) {
    return std::nullopt;
  }
  return value;
}

bool Headers::HasToken(std::string_view name,
                       std::string_view token) const noexcept {
  return std::ranges::any_of(this->fields, [&](const HttpHeader& header) {
    if (!EqualsNoCase(header.name, name)) return false;
    bool found = false;
    ForEachToken(header.value, [&](std::string_view item) {
      found = found || EqualsNoCase(item, token);
    });
    return found;
  });
}

void Headers::Add(std::string_view name, std::string_view value) {
  this->fields.push_back(HttpHeader{std::string(name), std::string(value)});
}

void Headers::Set(std::string_view name, std::string_view value) {
  this->Remove(name);
  this->Add(name, value);
}

void Headers::Remove(std::string_view name) {
  std::erase_if(this->fields, [name](const HttpHeader& header) {
    return EqualsNoCase(header.name, name);
  });
}

void Headers::RemoveContaining(std::string_view text) {
  if (text.empty()) return;
  std::erase_if(this->fields, [text](const HttpHeader& header) {
    return header.value.find(text) != std::string::npos;
  });
}

const std::vector<HttpHeader>& Headers::All() const noexcept {
  return this->fields;
}

std::string_view PathOf(std::string_view target) noexcept {
  return target.substr(0, target.find('?'));
}

std::string QueryValue(std::string_view target, std::string_view name) {
  const auto query_mark = target.find('?');
  if (query_mark == std::string_view::npos) return {};
  std::string_view query = target.substr(query_mark + 1);
  while (!query.empty()) {
    const auto end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    const auto equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return PercentDecode(pair.substr(equals + 1));
    }
    if (end == std::string_view::npos) break;
    query.remove_prefix(end + 1);
  }
  return {};
}

std::string EscapeQuery(std::string_view text) {
  std::string out;
  std::ranges::for_each(text, [&out](char character) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || character == '-' || character == '.' ||
        character == '_' || character == '/') {
      out += character;
      return;
    }
    out += '%';
    out += kHexDigits[byte >> 4U];
    out += kHexDigits[byte & 15U];
  });
  return out;
}

Headers EndToEndHeaders(const Headers& headers) {
  std::vector<std::string_view> hop_by_hop(kHopByHopHeaders.begin(),
                                           kHopByHopHeaders.end());
  std::ranges::for_each(headers.All(), [&hop_by_hop](const HttpHeader& header) {
    if (!EqualsNoCase(header.name, "connection")) return;
    ForEachToken(header.value, [&hop_by_hop](std::string_view token) {
      hop_by_hop.push_back(token);
    });
  });
  Headers out;
  std::ranges::for_each(headers.All(), [&](const HttpHeader& header) {
    const bool excluded =
        std::ranges::any_of(hop_by_hop, [&header](std::string_view name) {
          return EqualsNoCase(header.name, name);
        });
    if (!excluded) out.Add(header.name, header.value);
  });
  return out;
}

std::string WriteRequest(const RequestHead& head, std::string_view body) {
  std::string out = head.method;
  out.append(" ").append(head.target).append(" HTTP/1.1\r\n");
  AppendHeaders(head.headers, out);
  const bool has_length = !body.empty() || head.method == "POST" ||
                          head.method == "PUT" || head.method == "PATCH";
  if (has_length) {
    out.append("Content-Length: ")
        .append(std::to_string(body.size()))
        .append("\r\n");
  }
  if (!head.keep_alive) out.append("Connection: close\r\n");
  out.append("\r\n").append(body);
  return out;
}

std::string WriteResponse(const ResponseHead& head, std::string_view body) {
  std::string out = StatusLineAndHeaders(head);
  out.append("Content-Length: ")
      .append(std::to_string(body.size()))
      .append("\r\n\r\n")
      .append(body);
  return out;
}

std::string WriteChunkedHead(const ResponseHead& head) {
  return StatusLineAndHeaders(head).append(
      "Transfer-Encoding: chunked\r\n\r\n");
}

std::string WriteChunk(std::string_view bytes) {
  std::string out;
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 bytes.size(), 16)
                       .ptr;
  out.append(digits.data(), end).append("\r\n").append(bytes).append("\r\n");
  return out;
}

}  // namespace limpethaven
