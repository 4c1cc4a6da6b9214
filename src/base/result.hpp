// A value or a typed error, like std::expected in later standards.
#ifndef DAPPLETILLER_BASE_RESULT_HPP_
#define DAPPLETILLER_BASE_RESULT_HPP_

#include <utility>
#include <variant>

namespace dappletiller {

// Wraps an error, so that a function can return one where the value's type would also fit.
template <typename E>
struct Failure {
  E error;
};
template <typename E>
Failure(E) -> Failure<E>;

// Either a T or an E. Reading the wrong one is a programming error and throws std::bad_variant_access.
template <typename T, typename E>
class [[nodiscard]] Result {
 public:
  // Implicit, so that a function can simply return the value or a Failure.
  Result(T value)
      : content_(std::in_place_index<0>, std::move(value)) {}  // NOLINT(google-explicit-constructor)
  Result(Failure<E> failure)  // NOLINT(google-explicit-constructor): see above
      : content_(std::in_place_index<1>, std::move(failure.error)) {}

  bool ok() const { return content_.index() == 0; }
  explicit operator bool() const { return ok(); }

  const T& value() const { return std::get<0>(content_); }
  T& value() { return std::get<0>(content_); }
  const T& operator*() const { return value(); }
  T& operator*() { return value(); }
  const T* operator->() const { return &value(); }
  T* operator->() { return &value(); }

  const E& error() const { return std::get<1>(content_); }

 private:
  std::variant<T, E> content_;
};

}  // namespace dappletiller

#endif  // DAPPLETILLER_BASE_RESULT_HPP_
